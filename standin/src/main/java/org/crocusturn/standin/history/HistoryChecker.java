package org.crocusturn.standin.history;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.crocusturn.core.Verdict;

/**
 * Checks the recorded operations against each other and against the final data.
 *
 * <p>Stateless. The times of all operations must come from the same clock.
 */
public final class HistoryChecker {
    private HistoryChecker() {}

    /**
     * Returns the consistency violations, empty if the history is correct.
     *
     * @param history operations of all sessions in any order
     * @param finalRows all rows at the end of the run
     */
    public static List<String> check(List<Operation> history, List<Row> finalRows) {
        List<Operation> writes = history.stream().filter(Operation::isWrite).toList();
        List<Operation> reads =
                history.stream().filter(o -> !o.isWrite() && o.isAcknowledged()).toList();
        Map<Long, Operation> writesByNumber =
                writes.stream().collect(Collectors.toMap(Operation::write, Function.identity()));
        List<String> faults = new ArrayList<>();
        writes.forEach(w -> faults.addAll(checkRowCounts(w, finalRows)));
        faults.addAll(checkRowSets("final data", writesByNumber, finalRows));
        reads.forEach(
                r -> faults.addAll(checkRowSets("read " + describe(r), writesByNumber, r.rows())));
        reads.forEach(r -> faults.addAll(checkReadYourWrites(r, writes)));
        faults.addAll(checkTermOrder(writes));
        return faults;
    }

    /**
     * Finds writes whose number of rows in the final data contradicts the verdict: exactly one copy
     * of each row if acknowledged, none if not run, and at most one otherwise.
     */
    private static List<String> checkRowCounts(Operation write, List<Row> rows) {
        return IntStream.range(0, write.parts())
                .mapToObj(part -> new Row(write.write(), part))
                .flatMap(
                        row -> {
                            long count = rows.stream().filter(row::equals).count();
                            return findCountFault(write, count).stream()
                                    .map(f -> row + " of " + describe(write) + " " + f);
                        })
                .toList();
    }

    private static List<String> findCountFault(Operation write, long count) {
        if (write.isAcknowledged() && count != 1) {
            return List.of("was acknowledged and is there " + count + " times");
        }
        if (write.verdict() == Verdict.NOT_RUN && count > 0) {
            return List.of("was answered not_run and is there " + count + " times");
        }
        return count > 1 ? List.of("is there " + count + " times") : List.of();
    }

    /** Finds rows without a write, partial transactions and duplicate rows. */
    private static List<String> checkRowSets(
            String source, Map<Long, Operation> writesByNumber, List<Row> rows) {
        List<String> faults = new ArrayList<>();
        Map<Long, List<Row>> rowsByWrite = rows.stream().collect(Collectors.groupingBy(Row::write));
        rowsByWrite.forEach(
                (number, writeRows) -> {
                    Operation write = writesByNumber.get(number);
                    Set<Row> distinctRows = Set.copyOf(writeRows);
                    if (write == null) {
                        faults.add(source + ": write " + number + " was never sent");
                    } else if (distinctRows.size() != write.parts()) {
                        faults.add(source + ": only " + distinctRows + " of " + describe(write));
                    } else if (distinctRows.size() != writeRows.size()) {
                        faults.add(source + ": duplicate rows of " + describe(write));
                    }
                });
        return faults;
    }

    /** Finds writes of the session that were acknowledged before the read and that it lacks. */
    private static List<String> checkReadYourWrites(Operation read, List<Operation> writes) {
        Set<Long> readNumbers = read.rows().stream().map(Row::write).collect(Collectors.toSet());
        return writes.stream()
                .filter(w -> w.session() == read.session() && w.isAcknowledged())
                .filter(w -> w.endNanos() <= read.startNanos() && !readNumbers.contains(w.write()))
                .map(w -> "read " + describe(read) + " does not contain the earlier " + describe(w))
                .toList();
    }

    /**
     * Finds writes acknowledged in an older term than a write that had ended before they started,
     * which only a former primary can do.
     */
    private static List<String> checkTermOrder(List<Operation> writes) {
        List<Operation> acknowledged =
                writes.stream().filter(w -> w.isAcknowledged() && w.term() > 0).toList();
        return acknowledged.stream()
                .flatMap(
                        later ->
                                acknowledged.stream()
                                        .filter(w -> w.endNanos() < later.startNanos())
                                        .filter(w -> w.term() > later.term())
                                        .max(Comparator.comparingLong(Operation::term))
                                        .stream()
                                        .map(
                                                w ->
                                                        describe(later)
                                                                + " has an older term than earlier "
                                                                + describe(w)))
                .toList();
    }

    private static String describe(Operation operation) {
        return "["
                + (operation.isWrite() ? "write " + operation.write() + ", " : "")
                + "session "
                + operation.session()
                + ", term "
                + operation.term()
                + ", "
                + operation.verdict().wireName()
                + " "
                + operation.detail()
                + ", "
                + operation.startNanos()
                + " to "
                + operation.endNanos()
                + "]";
    }
}
