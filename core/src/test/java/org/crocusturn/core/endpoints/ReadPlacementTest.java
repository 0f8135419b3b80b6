package org.crocusturn.core.endpoints;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.stream.Stream;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.endpoints.ReadPlacement.Candidate;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against reads that overload the primary, wait at a lagging copy or exceed the slots of a
 * copy.
 */
class ReadPlacementTest {
    static Stream<Arguments> loads() {
        Candidate primary = candidate("p", true, 0, true, true);
        Candidate replica = candidate("r", false, 0, true, true);
        Candidate lagging = candidate("l", false, 0, true, false);
        return Stream.of(
                Arguments.of(
                        "a replica is preferred to the primary", List.of(primary, replica), "r"),
                Arguments.of(
                        "the primary is preferred to a lagging replica",
                        List.of(primary, lagging),
                        "p"),
                Arguments.of(
                        "a lagging replica is chosen if there is no other copy",
                        List.of(lagging),
                        "l"),
                Arguments.of(
                        "the primary is preferred to a busy replica",
                        List.of(primary, candidate("r", false, 1, true, true)),
                        "p"),
                Arguments.of(
                        "no copy has a free slot",
                        List.of(
                                candidate("p", true, 2, true, true),
                                candidate("r", false, 2, true, true)),
                        ""),
                Arguments.of(
                        "the read waits for a slot of a caught-up copy",
                        List.of(candidate("r", false, 2, true, true), lagging),
                        ""),
                Arguments.of(
                        "a copy with an open connection is preferred",
                        List.of(candidate("a", false, 0, false, true), replica),
                        "r"));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("loads")
    void chooses(String description, List<Candidate> candidates, String chosen) {
        assertEquals(
                chosen,
                ReadPlacement.choose(candidates).map(EndpointId::value).orElse(""),
                description);
    }

    private static Candidate candidate(
            String id, boolean primary, int running, boolean connected, boolean caughtUp) {
        return new Candidate(EndpointId.of(id), primary, running, 2, connected, caughtUp, true);
    }
}
