package org.crocusturn.core.entryhosts;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import org.crocusturn.core.DataCentreId;
import org.crocusturn.core.GroupId;
import org.crocusturn.core.HostId;
import org.crocusturn.core.controlhosts.EntryReport;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against the placement of several groups on one host or on a process that has just started,
 * and against needless moves. A rolling restart of all hosts exposed these faults.
 */
class SpreadPlacementTest {
    private static final DataCentreId NORTH = DataCentreId.of("north");
    private static final DataCentreId SOUTH = DataCentreId.of("south");

    @ParameterizedTest
    @CsvSource({
        // lease counts and warm-up state of hosts 0 to 2; holder, or -1 for none; chosen host, or
        // -1 for any host without leases
        "0 1 1, true true true, -1, 0",
        "1 0 1, true true true, -1, 1",
        "0 1 1, false true true, 1, 1",
        "0 1 2, false true true, 2, 1",
        "1 1 1, true true true, 2, 2",
        "1 1 1, true true true, 0, 0",
        "0 0 1, true true true, 2, -1",
        "0 0 0, false false false, 1, 1"
    })
    void spreadsOverSettledHosts(String groups, String settled, int holder, int expected) {
        List<PlacementPolicy.Option> options =
                IntStream.range(0, 3)
                        .mapToObj(
                                i ->
                                        new PlacementPolicy.Option(
                                                host(i, NORTH),
                                                Integer.parseInt(groups.split(" ")[i]),
                                                Boolean.parseBoolean(settled.split(" ")[i]),
                                                i == holder))
                        .toList();
        HostId chosen =
                new SpreadPlacement()
                        .choose(GroupId.of("s", "a"), Optional.empty(), options)
                        .orElseThrow()
                        .id();
        if (expected >= 0) {
            assertEquals(id(expected), chosen);
        } else {
            assertEquals(
                    0,
                    options.stream()
                            .filter(o -> o.host().id().equals(chosen))
                            .findFirst()
                            .orElseThrow()
                            .groups());
        }
    }

    /** Guards against a leaseholder far from the primary, which adds latency to each statement. */
    @ParameterizedTest
    @CsvSource({"true, 1", "false, 0"})
    void prefersTheDataCentreOfThePrimary(boolean settled, int expected) {
        List<PlacementPolicy.Option> options =
                List.of(
                        new PlacementPolicy.Option(host(0, NORTH), 0, true, false),
                        new PlacementPolicy.Option(host(1, SOUTH), 1, settled, false));
        assertEquals(
                id(expected),
                new SpreadPlacement()
                        .choose(GroupId.of("s", "a"), Optional.of(SOUTH), options)
                        .orElseThrow()
                        .id());
    }

    private static HostId id(int number) {
        return HostId.of("entry-" + number);
    }

    private static RegisteredHost host(int number, DataCentreId centre) {
        return RegisteredHost.of(
                new EntryReport(
                        id(number),
                        1,
                        centre,
                        "127.0.0.1:" + number,
                        1,
                        0,
                        List.of(),
                        List.of(),
                        Set.of(),
                        false),
                0);
    }
}
