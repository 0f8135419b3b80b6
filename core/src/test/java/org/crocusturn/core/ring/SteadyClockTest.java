package org.crocusturn.core.ring;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against a lease that is used after its expiry because the machine was suspended. */
class SteadyClockTest {
    private static final long MILLI = 1_000_000;

    private long mMonotonic = 500 * MILLI;
    private long mTimeOfDay = 9_000 * MILLI;
    private final SteadyClock mClock = SteadyClock.of(() -> mMonotonic, () -> mTimeOfDay);

    static Stream<Arguments> advances() {
        return Stream.of(
                Arguments.of("both clocks advance", 100, 100, 100),
                Arguments.of("suspended while idle", 0, 4_000, 4_000),
                Arguments.of("suspended while running", 10, 4_010, 4_010),
                Arguments.of("the time of day steps forward", 10, 2_410, 2_410),
                Arguments.of("the time of day steps backward", 10, -2_400, 10),
                Arguments.of("slewing does not count as a suspension", 1_000, 1_015, 1_000));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("advances")
    void countsSuspendedTime(String description, long monotonic, long timeOfDay, long elapsed) {
        long before = mClock.now();
        mMonotonic += monotonic * MILLI;
        mTimeOfDay += timeOfDay * MILLI;
        assertEquals(elapsed * MILLI, mClock.now() - before, description);
    }

    @Test
    void staysMonotonicAfterStepsBothWays() {
        long last = mClock.now();
        for (int i = 1; i <= 20; i++) {
            mMonotonic += MILLI;
            mTimeOfDay += (i % 2 == 0 ? 1_900 : -1_700) * MILLI;
            long now = mClock.now();
            assertTrue(now > last, "step " + i);
            last = now;
        }
    }
}
