package org.crocusturn.core.controlhosts;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
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
                new LeaseDrain(Map.of(GROUP, moves), Set.of(), Optional.empty(), Optional.empty())
                        .withWork(List.of(new HeldLease(GROUP, 1, 0, released, running)))
                        .withStopping(0)
                        .withStopping(Duration.ofHours(1).toNanos());
        assertEquals(remaining, drain.remaining(Duration.ofMillis(millis).toNanos()));
    }

    /**
     * Guards against a leaseholder that ends before the other hosts know of the move. They then
     * answer writes that they have just sent to it with "may have run".
     */
    @ParameterizedTest
    @CsvSource({
        // Whether the host stops, leases before and after, millis since then, leases to wait for.
        "true, 1, 0, 0, 1",
        "true, 1, 0, 399, 1",
        "true, 1, 0, 400, 0",
        "true, 2, 1, 400, 1",
        "true, 1, 1, 0, 1",
        "true, 0, 0, 0, 0",
        "false, 1, 0, 0, 0"
    })
    void waitsUntilMovesAreKnown(boolean stops, int before, int after, long millis, int remaining) {
        LeaseDrain running = LeaseDrain.NONE.withLeases(leases(before), 0);
        LeaseDrain drain =
                (stops ? running.withStopping(0) : running)
                        .withLeases(leases(after), 0)
                        .withLeases(leases(after), Duration.ofMillis(1).toNanos());
        assertEquals(remaining, drain.remaining(Duration.ofMillis(millis).toNanos()));
    }

    private static Map<GroupId, Boolean> leases(int count) {
        return IntStream.range(0, count)
                .boxed()
                .collect(Collectors.toMap(n -> GroupId.of("s" + n, "a"), n -> true));
    }

    @ParameterizedTest
    @CsvSource({"0, 0", "1, 1"})
    void waitsForAllLeasesBeforeItStops(int leases, int remaining) {
        Map<GroupId, Boolean> moving = leases == 0 ? Map.of() : Map.of(GROUP, false);
        LeaseDrain drain = new LeaseDrain(moving, Set.of(), Optional.empty(), Optional.empty());
        assertEquals(remaining, drain.remaining(Duration.ofHours(1).toNanos()));
    }
}
