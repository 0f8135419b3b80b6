package org.crocusturn.core.callers;

import java.util.List;
import java.util.Objects;

/**
 * The complete answer to one statement.
 *
 * @param columns names of the columns; empty for a write
 * @param rows rows in order, each with one value for each column
 * @param updated number of rows that a write modified; 0 for a read
 * @param servedBy copy that ran the statement
 */
public record StatementAnswer(
        List<String> columns, List<List<SqlValue>> rows, long updated, ServedBy servedBy) {
    /** Copies the lists. */
    public StatementAnswer {
        Objects.requireNonNull(servedBy, "servedBy");
        columns = List.copyOf(columns);
        rows = rows.stream().map(List::copyOf).toList();
    }
}
