package org.crocusturn.core.controlhosts;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against two leaders in a term or with valid leases, lost or changed committed entries, and
 * rejected proposals that are committed. {@code -Dcrocusturn.seed=N} replays a failing seed; {@code
 * -Dcrocusturn.schedules=N} runs more seeds.
 */
class ConsensusTest {
    private static final int SCHEDULES = Integer.getInteger("crocusturn.schedules", 200);
    private static final int FAULTY_SCHEDULES = 200;

    static LongStream seeds() {
        Long only = Long.getLong("crocusturn.seed");
        return only == null ? LongStream.range(0, SCHEDULES) : LongStream.of(only);
    }

    @ParameterizedTest(name = "seed {0}")
    @MethodSource("seeds")
    void maintainsInvariantsInRandomSchedules(long seed) {
        int committed = ScheduleRun.run(seed, ScheduleFault.NONE);
        assertTrue(committed > 0, "nothing was committed");
    }

    /** Guards against schedules that cannot detect a violated rule. */
    @ParameterizedTest
    @EnumSource(value = ScheduleFault.class, mode = EnumSource.Mode.EXCLUDE, names = "NONE")
    void detectsFaults(ScheduleFault fault) {
        assertTrue(
                LongStream.range(0, FAULTY_SCHEDULES).anyMatch(seed -> isDetected(seed, fault)),
                "no schedule caught " + fault);
    }

    private static boolean isDetected(long seed, ScheduleFault fault) {
        try {
            ScheduleRun.run(seed, fault);
            return false;
        } catch (IllegalStateException e) {
            System.out.println("seed " + seed + " caught " + fault + ": " + e.getMessage());
            return true;
        }
    }
}
