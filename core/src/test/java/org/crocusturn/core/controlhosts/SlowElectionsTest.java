package org.crocusturn.core.controlhosts;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.crocusturn.core.HostId;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against elections that fail one after the other while hosts without processor time answer
 * late, as when all hosts start at once after a loss of power.
 */
class SlowElectionsTest {
    private static final Duration STARTUP = Duration.ofSeconds(6);

    /** The users' platform expects the acknowledgement of a change within 5 s. */
    private static final Duration ELECTION_LIMIT = Duration.ofSeconds(5);

    private static final Duration STEP = Duration.ofMillis(50);
    private static final int RUNS = 40;

    @ParameterizedTest(name = "messages take up to {0} ms")
    @ValueSource(ints = {50, 100, 150, 200, 250})
    void electsLeaderInTime(int delayMillis) {
        for (int n = 0; n < RUNS; n++) {
            List<HostId> hosts =
                    IntStream.range(0, 5).mapToObj(host -> HostId.of("c" + host)).toList();
            ReplacementRun run = ReplacementRun.start(hosts);
            // Runs differ in the random numbers that are used up before the loss of power.
            run.advance(STARTUP.plusMillis(13L * n));
            run.setMaxDelay(Duration.ofMillis(delayMillis));
            run.losePower(Set.of(hosts.get(n % 5), hosts.get((n + 2) % 5)));
            Duration waited = Duration.ZERO;
            while (run.leader().isEmpty() && waited.compareTo(ELECTION_LIMIT) < 0) {
                run.advance(STEP);
                waited = waited.plus(STEP);
            }
            assertTrue(run.leader().isPresent(), "no leader in run " + n);
        }
    }
}
