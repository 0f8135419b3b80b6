package org.crocusturn.standin.history;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.Stream;
import org.crocusturn.core.Verdict;
import org.junit.jupiter.api.Named;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

class HistoryCheckerTest {
    private static final Row FIRST = new Row(1, 0);
    private static final Row SECOND = new Row(1, 1);

    /** Guards against a checker that overlooks a fault. */
    @ParameterizedTest
    @MethodSource("faults")
    void findsFault(List<Operation> history, List<Row> rows, String expected) {
        List<String> faults = HistoryChecker.check(history, rows);
        assertTrue(faults.stream().anyMatch(f -> f.contains(expected)), faults::toString);
    }

    /** Guards against a checker that reports what is allowed. */
    @ParameterizedTest
    @MethodSource("correct")
    void acceptsCorrect(List<Operation> history, List<Row> rows) {
        assertEquals(List.of(), HistoryChecker.check(history, rows));
    }

    static Stream<Arguments> faults() {
        Operation ran = write(1, 10, Verdict.RAN, 1, 1);
        Operation pair = write(1, 10, Verdict.RAN, 2, 1);
        return Stream.of(
                fault("lost", List.of(ran), List.of(), "there 0 times"),
                fault("twice", List.of(ran), List.of(FIRST, FIRST), "there 2 times"),
                fault(
                        "not run, but there",
                        List.of(write(1, 10, Verdict.NOT_RUN, 1, 1)),
                        List.of(FIRST),
                        "answered not_run"),
                fault(
                        "unknown, twice",
                        List.of(write(1, 10, Verdict.MAY_HAVE_RUN, 1, 1)),
                        List.of(FIRST, FIRST),
                        "is there 2 times"),
                fault("never sent", List.of(), List.of(FIRST), "never sent"),
                fault("part at the end", List.of(pair), List.of(SECOND), "final data: only"),
                fault(
                        "part of an unknown one",
                        List.of(write(1, 10, Verdict.MAY_HAVE_RUN, 2, 1)),
                        List.of(FIRST),
                        "final data: only"),
                fault(
                        "part in a read",
                        List.of(pair, read(2, 5, FIRST)),
                        List.of(FIRST, SECOND),
                        "]: only"),
                fault(
                        "repeated in a read",
                        List.of(ran, read(1, 30, FIRST, FIRST)),
                        List.of(FIRST),
                        "repeated rows"),
                fault("own write", List.of(ran, read(1, 30)), List.of(FIRST), "misses its own"),
                fault(
                        "older term",
                        List.of(write(1, 10, Verdict.RAN, 1, 2), late(2, 30, 1)),
                        List.of(FIRST, new Row(2, 0)),
                        "acknowledged after"));
    }

    static Stream<Arguments> correct() {
        Operation ran = write(1, 10, Verdict.RAN, 1, 2);
        return Stream.of(
                Arguments.of(List.of(ran, read(1, 30, FIRST)), List.of(FIRST)),
                Arguments.of(List.of(write(1, 10, Verdict.MAY_HAVE_RUN, 2, 1)), List.of()),
                Arguments.of(
                        List.of(write(1, 10, Verdict.MAY_HAVE_RUN, 2, 1)), List.of(FIRST, SECOND)),
                Arguments.of(List.of(write(1, 10, Verdict.NOT_RUN, 1, 1)), List.of()),
                // Another session, and a read that began before the write ended.
                Arguments.of(List.of(ran, read(2, 30)), List.of(FIRST)),
                Arguments.of(List.of(ran, read(1, 15)), List.of(FIRST)),
                // Overlapping writes may be acknowledged in any order of terms.
                Arguments.of(List.of(ran, late(2, 15, 1)), List.of(FIRST, new Row(2, 0))));
    }

    private static Arguments fault(
            String name, List<Operation> history, List<Row> rows, String expected) {
        return Arguments.of(Named.of(name, history), rows, expected);
    }

    private static Operation write(int session, long start, Verdict verdict, int parts, long term) {
        return new Operation(session, start, start + 10, verdict, 1, parts, List.of(), term, "");
    }

    private static Operation late(long write, long start, long term) {
        return new Operation(2, start, start + 10, Verdict.RAN, write, 1, List.of(), term, "");
    }

    private static Operation read(int session, long start, Row... rows) {
        return new Operation(session, start, start + 5, Verdict.RAN, 0, 0, List.of(rows), 1, "");
    }
}
