package org.crocusturn.core.controlhosts;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.crocusturn.core.GroupId;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against hosts that stop together and wait until the end of their grace period for somebody
 * to take their leases.
 */
class LeaseDrainTest {
    private static final GroupId GROUP = GroupId.of("s", "a");

    @ParameterizedTest
    @CsvSource({
        // Millis since the stop, lease moves, requests that run, released, leases to wait for.
        "0, false, 0, false, 1",
        "299, false, 0, false, 1",
        "300, false, 0, false, 0",
        "300, true, 0, false, 1",
        "300, false, 1, false, 1",
        "300, true, 1, false, 1",
        "300, false, 1, true, 0",
        "60000, true, 0, false, 1",
    })
    void waitsForWorkAndMoves(
            long millis, boolean moves, int running, boolean released, int remaining) {
        LeaseDrain drain =
                new LeaseDrain(Map.of(GROUP, moves), Set.of(), Optional.empty())
                        .withWork(List.of(new HeldLease(GROUP, 1, 0, released, running)))
                        .withStopping(0)
                        .withStopping(Duration.ofHours(1).toNanos());
        assertEquals(remaining, drain.remaining(Duration.ofMillis(millis).toNanos()));
    }

    @ParameterizedTest
    @CsvSource({"0, 0", "1, 1"})
    void waitsForAllLeasesBeforeItStops(int leases, int remaining) {
        Map<GroupId, Boolean> moving = leases == 0 ? Map.of() : Map.of(GROUP, false);
        LeaseDrain drain = new LeaseDrain(moving, Set.of(), Optional.empty());
        assertEquals(remaining, drain.remaining(Duration.ofHours(1).toNanos()));
    }
}
