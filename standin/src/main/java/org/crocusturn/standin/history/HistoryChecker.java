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
 * Compares what callers saw with the data that is there at the end.
 *
 * <p>Stateless. Times of all operations have to come from the same clock.
 */
public final class HistoryChecker {
    private HistoryChecker() {}

    /**
     * Returns the faults, empty if the history is correct.
     *
     * @param history operations of all sessions in any order
     * @param finalRows all rows at the end of the run
     */
    public static List<String> check(List<Operation> history, List<Row> finalRows) {
        List<Operation> writes = history.stream().filter(Operation::isWrite).toList();
        List<Operation> reads =
                history.stream().filter(o -> !o.isWrite() && o.isAcknowledged()).toList();
        Map<Long, Operation> byNumber =
                writes.stream().collect(Collectors.toMap(Operation::write, Function.identity()));
        List<String> faults = new ArrayList<>();
        writes.forEach(w -> faults.addAll(outcome(w, finalRows)));
        faults.addAll(whole("final data", byNumber, finalRows));
        reads.forEach(r -> faults.addAll(whole("read " + name(r), byNumber, r.rows())));
        reads.forEach(r -> faults.addAll(ownWrites(r, writes)));
        faults.addAll(terms(writes));
        return faults;
    }

    private static List<String> outcome(Operation write, List<Row> rows) {
        return IntStream.range(0, write.parts())
                .mapToObj(part -> new Row(write.write(), part))
                .flatMap(
                        row -> {
                            long count = rows.stream().filter(row::equals).count();
                            return fault(write, count).stream()
                                    .map(f -> row + " of " + name(write) + " " + f);
                        })
                .toList();
    }

    private static List<String> fault(Operation write, long count) {
        if (write.isAcknowledged() && count != 1) {
            return List.of("was acknowledged and is there " + count + " times");
        }
        if (write.verdict() == Verdict.NOT_RUN && count > 0) {
            return List.of("was answered not_run and is there " + count + " times");
        }
        return count > 1 ? List.of("is there " + count + " times") : List.of();
    }

    /** Finds rows that nobody wrote, repeated rows and transactions that are there in part. */
    private static List<String> whole(String where, Map<Long, Operation> writes, List<Row> rows) {
        List<String> faults = new ArrayList<>();
        Map<Long, List<Row>> found = rows.stream().collect(Collectors.groupingBy(Row::write));
        found.forEach(
                (number, parts) -> {
                    Operation write = writes.get(number);
                    Set<Row> different = Set.copyOf(parts);
                    if (write == null) {
                        faults.add(where + ": write " + number + " was never sent");
                    } else if (different.size() != write.parts()) {
                        faults.add(where + ": only " + different + " of " + name(write));
                    } else if (different.size() != parts.size()) {
                        faults.add(where + ": repeated rows of " + name(write));
                    }
                });
        return faults;
    }

    private static List<String> ownWrites(Operation read, List<Operation> writes) {
        Set<Long> seen = read.rows().stream().map(Row::write).collect(Collectors.toSet());
        return writes.stream()
                .filter(w -> w.session() == read.session() && w.isAcknowledged())
                .filter(w -> w.endNanos() <= read.startNanos() && !seen.contains(w.write()))
                .map(w -> "read " + name(read) + " misses its own " + name(w))
                .toList();
    }

    private static List<String> terms(List<Operation> writes) {
        List<Operation> acknowledged =
                writes.stream().filter(w -> w.isAcknowledged() && w.term() > 0).toList();
        return acknowledged.stream()
                .flatMap(
                        late ->
                                acknowledged.stream()
                                        .filter(w -> w.endNanos() < late.startNanos())
                                        .filter(w -> w.term() > late.term())
                                        .max(Comparator.comparingLong(Operation::term))
                                        .stream()
                                        .map(
                                                w ->
                                                        name(late)
                                                                + " was acknowledged after "
                                                                + name(w)))
                .toList();
    }

    private static String name(Operation operation) {
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
