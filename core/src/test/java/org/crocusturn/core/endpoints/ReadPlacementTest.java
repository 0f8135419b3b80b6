package org.crocusturn.core.endpoints;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.stream.Stream;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.endpoints.ReadPlacement.Option;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against reads that crowd the primary, wait at a lagging copy or overfill a copy. */
class ReadPlacementTest {
    static Stream<Arguments> loads() {
        Option primary = option("p", true, 0, true, true);
        Option replica = option("r", false, 0, true, true);
        Option behind = option("l", false, 0, true, false);
        return Stream.of(
                Arguments.of("a replica goes before the primary", List.of(primary, replica), "r"),
                Arguments.of("a lagging replica comes last", List.of(primary, behind), "p"),
                Arguments.of("only lagging copies are left", List.of(behind), "l"),
                Arguments.of(
                        "the primary helps a busy replica",
                        List.of(primary, option("r", false, 1, true, true)),
                        "p"),
                Arguments.of(
                        "nobody has a free slot",
                        List.of(
                                option("p", true, 2, true, true),
                                option("r", false, 2, true, true)),
                        ""),
                Arguments.of(
                        "a caught-up copy without a slot is waited for",
                        List.of(option("r", false, 2, true, true), behind),
                        ""),
                Arguments.of(
                        "an open connection saves a handshake",
                        List.of(option("a", false, 0, false, true), replica),
                        "r"));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("loads")
    void chooses(String what, List<Option> options, String chosen) {
        assertEquals(chosen, ReadPlacement.choose(options).map(EndpointId::value).orElse(""), what);
    }

    private static Option option(
            String id, boolean primary, int running, boolean connected, boolean caughtUp) {
        return new Option(EndpointId.of(id), primary, running, 2, connected, caughtUp, true);
    }
}
