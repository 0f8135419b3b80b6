package org.crocusturn.core.entryhosts;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.crocusturn.core.DataCentreId;
import org.crocusturn.core.GroupId;
import org.crocusturn.core.HostId;
import org.crocusturn.core.controlhosts.EntryReport;
import org.crocusturn.core.controlhosts.HeldLease;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against moves of leases that cost callers more than they gain. */
class MovePolicyTest {
    private static RegisteredHost host(int capacity, int callsPerSecond) {
        return RegisteredHost.of(
                new EntryReport(
                        HostId.of("h"),
                        1,
                        DataCentreId.of("dc"),
                        "127.0.0.1:1",
                        1,
                        0,
                        List.of(
                                new HeldLease(
                                        GroupId.of("s", "a"), 1, 0, false, 0, 0, callsPerSecond)),
                        List.of(),
                        Set.of(),
                        false,
                        0,
                        0,
                        capacity),
                0);
    }

    @ParameterizedTest
    @CsvSource({
        // capacity and calls per second of the holder, its other leases; capacity, leases and
        // seconds of uptime of the target; seconds for which the lease was held
        "180, 150, 0, 225, 0, 60, 60, none, true",
        "180, 181, 0, 225, 0, 60, 60, MoveForCapacity, true",
        "180, 361, 0, 225, 0, 60, 60, MoveForCapacity, false",
        "180, 181, 0, 225, 0, 9, 60, none, true",
        "180, 150, 1, 225, 0, 60, 60, MoveForBalance, true",
        "180, 150, 1, 225, 0, 9, 60, none, true",
        "180, 150, 1, 180, 0, 3, 60, MoveForBalance, true",
        "180, 150, 1, 180, 1, 60, 60, none, true",
        "180, 150, 0, 180, 0, 60, 599, none, true",
        "180, 150, 0, 180, 0, 60, 600, MoveForDataCentre, true",
        "180, 0, 0, 225, 0, 60, 60, MoveForCapacity, false",
        "180, 0, 0, 225, 0, 9, 600, none, false",
        "0, 150, 1, 0, 0, 60, 60, MoveForBalance, true",
        "0, 0, 1, 0, 0, 60, 60, MoveForBalance, false"
    })
    void movesOnlyWhatIsWorthIt(
            int holderCapacity,
            int callsPerSecond,
            int holderLeases,
            int targetCapacity,
            int targetLeases,
            long targetSeconds,
            long heldSeconds,
            String expected,
            boolean interrupts) {
        MovePolicy.Move move =
                new MovePolicy.Move(
                        host(holderCapacity, callsPerSecond),
                        holderLeases,
                        host(targetCapacity, 0),
                        targetLeases,
                        Duration.ofSeconds(heldSeconds).toNanos(),
                        Duration.ofSeconds(targetSeconds).toNanos());
        String found =
                Stream.of(new MoveForCapacity(), new MoveForBalance(), new MoveForDataCentre())
                        .filter(policy -> policy.isWorthwhile(move))
                        .map(policy -> policy.getClass().getSimpleName())
                        .findFirst()
                        .orElse("none");
        assertEquals(expected, found);
        assertEquals(interrupts, move.interruptsService());
    }
}
