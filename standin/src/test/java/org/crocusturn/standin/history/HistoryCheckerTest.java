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
    private static final Row FIRST_ROW = new Row(1, 0);
    private static final Row SECOND_ROW = new Row(1, 1);

    /** Guards against a checker that misses a consistency violation. */
    @ParameterizedTest
    @MethodSource("incorrectHistories")
    void findsFault(List<Operation> history, List<Row> rows, String expected) {
        List<String> faults = HistoryChecker.check(history, rows);
        assertTrue(faults.stream().anyMatch(f -> f.contains(expected)), faults::toString);
    }

    /** Guards against a checker that rejects a correct history. */
    @ParameterizedTest
    @MethodSource("correctHistories")
    void acceptsCorrectHistory(List<Operation> history, List<Row> rows) {
        assertEquals(List.of(), HistoryChecker.check(history, rows));
    }

    static Stream<Arguments> incorrectHistories() {
        Operation acknowledged = write(1, 10, Verdict.RAN, 1, 1);
        Operation twoRowWrite = write(1, 10, Verdict.RAN, 2, 1);
        return Stream.of(
                incorrect(
                        "acknowledged write is missing",
                        List.of(acknowledged),
                        List.of(),
                        "there 0 times"),
                incorrect(
                        "acknowledged write is present twice",
                        List.of(acknowledged),
                        List.of(FIRST_ROW, FIRST_ROW),
                        "there 2 times"),
                incorrect(
                        "write answered not_run is present",
                        List.of(write(1, 10, Verdict.NOT_RUN, 1, 1)),
                        List.of(FIRST_ROW),
                        "answered not_run"),
                incorrect(
                        "write with unknown outcome is present twice",
                        List.of(write(1, 10, Verdict.MAY_HAVE_RUN, 1, 1)),
                        List.of(FIRST_ROW, FIRST_ROW),
                        "is there 2 times"),
                incorrect("row without a write", List.of(), List.of(FIRST_ROW), "never sent"),
                incorrect(
                        "partial write in the final data",
                        List.of(twoRowWrite),
                        List.of(SECOND_ROW),
                        "final data: only"),
                incorrect(
                        "partial write with unknown outcome in the final data",
                        List.of(write(1, 10, Verdict.MAY_HAVE_RUN, 2, 1)),
                        List.of(FIRST_ROW),
                        "final data: only"),
                incorrect(
                        "partial write in a read",
                        List.of(twoRowWrite, read(2, 5, FIRST_ROW)),
                        List.of(FIRST_ROW, SECOND_ROW),
                        "]: only"),
                incorrect(
                        "duplicate rows in a read",
                        List.of(acknowledged, read(1, 30, FIRST_ROW, FIRST_ROW)),
                        List.of(FIRST_ROW),
                        "duplicate rows"),
                incorrect(
                        "read lacks an earlier write of its session",
                        List.of(acknowledged, read(1, 30)),
                        List.of(FIRST_ROW),
                        "does not contain the earlier [write 1,"),
                incorrect(
                        "later write in an older term",
                        List.of(write(1, 10, Verdict.RAN, 1, 2), secondWrite(2, 30, 1)),
                        List.of(FIRST_ROW, new Row(2, 0)),
                        "has an older term than earlier [write 1,"));
    }

    static Stream<Arguments> correctHistories() {
        Operation acknowledged = write(1, 10, Verdict.RAN, 1, 2);
        return Stream.of(
                Arguments.of(List.of(acknowledged, read(1, 30, FIRST_ROW)), List.of(FIRST_ROW)),
                Arguments.of(List.of(write(1, 10, Verdict.MAY_HAVE_RUN, 2, 1)), List.of()),
                Arguments.of(
                        List.of(write(1, 10, Verdict.MAY_HAVE_RUN, 2, 1)),
                        List.of(FIRST_ROW, SECOND_ROW)),
                Arguments.of(List.of(write(1, 10, Verdict.NOT_RUN, 1, 1)), List.of()),
                // A read of another session, and a read that started before the write ended.
                Arguments.of(List.of(acknowledged, read(2, 30)), List.of(FIRST_ROW)),
                Arguments.of(List.of(acknowledged, read(1, 15)), List.of(FIRST_ROW)),
                // Concurrent writes may be acknowledged in any order of terms.
                Arguments.of(
                        List.of(acknowledged, secondWrite(2, 15, 1)),
                        List.of(FIRST_ROW, new Row(2, 0))));
    }

    private static Arguments incorrect(
            String name, List<Operation> history, List<Row> rows, String expected) {
        return Arguments.of(Named.of(name, history), rows, expected);
    }

    private static Operation write(
            int session, long startNanos, Verdict verdict, int parts, long term) {
        return new Operation(
                session, startNanos, startNanos + 10, verdict, 1, parts, List.of(), term, "");
    }

    private static Operation secondWrite(long number, long startNanos, long term) {
        return new Operation(
                2, startNanos, startNanos + 10, Verdict.RAN, number, 1, List.of(), term, "");
    }

    private static Operation read(int session, long startNanos, Row... rows) {
        return new Operation(
                session, startNanos, startNanos + 5, Verdict.RAN, 0, 0, List.of(rows), 1, "");
    }
}
