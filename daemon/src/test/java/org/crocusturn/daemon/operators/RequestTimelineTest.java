package org.crocusturn.daemon.operators;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against timelines that omit the cause of a failed request. */
class RequestTimelineTest {
    private static final List<LogLine> LINES =
            Stream.of(
                            line(
                                    "e1",
                                    "10.000",
                                    "endpoints: group g/all epoch 1 has primary p in term 1"),
                            line(
                                    "e1",
                                    "11.000",
                                    "endpoints: group h/all epoch 1 has primary q in term 1"),
                            line("c1", "12.000", "controlhosts: this host leads term 1"),
                            line("c2", "19.000", "controlhosts: this host leads term 2"),
                            line(
                                    "e1",
                                    "20.100",
                                    "endpoints: call 7 of e2.1 statement ab12 of g/all"
                                            + " for w in stage ENDED fails: RATE_LIMITED"),
                            line(
                                    "e2",
                                    "20.101",
                                    "callers: session 3 statement ab12 call 7 fails: RATE_LIMITED"),
                            line("c2", "25.000", "controlhosts: this host leads term 3"),
                            line(
                                    "e2",
                                    "20.050",
                                    "callers: session 4 statement ab123 call 8 fails: MOVED"))
                    .flatMap(Optional::stream)
                    .toList();

    private static Optional<LogLine> line(String process, String second, String message) {
        return LogLine.parse(
                process,
                "{\"time\":\"2026-12-04T10:00:"
                        + second
                        + "Z\",\"level\":\"INFO\",\"message\":\""
                        + message
                        + "\"}");
    }

    static Stream<Arguments> timelines() {
        return Stream.of(
                Arguments.of(
                        "ab12",
                        List.of(
                                "-10.100 known e1",
                                "-8.100 known c1",
                                "-1.100 changed c2",
                                "+0.000 request e1",
                                "+0.001 request e2")),
                Arguments.of("ab", List.of()));
    }

    @ParameterizedTest
    @MethodSource("timelines")
    void listsInitialStateChangesAndRequestLines(String id, List<String> expected) {
        assertEquals(
                expected,
                RequestTimeline.of(LINES, id).stream()
                        .map(l -> l.strip().split("\\s+"))
                        .map(words -> words[0] + " " + words[2] + " " + words[3])
                        .toList());
    }

    /** Guards against a log that cannot be read because of one malformed line. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "{\"time\":\"2026-12-04T10:00:01Z\",\"message\":\"x\"} | true",
                "{\"time\":\"yesterday\",\"message\":\"x\"} | false",
                "{\"time\":\"2026-12-04T10:00:01Z\",\"mess | false",
                "java.lang.IllegalStateException: x | false"
            })
    void skipsTextsThatAreNotLogLines(String text, boolean parsed) {
        assertEquals(parsed, LogLine.parse("e1", text).isPresent());
    }
}
