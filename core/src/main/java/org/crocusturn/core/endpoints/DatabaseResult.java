package org.crocusturn.core.endpoints;

import java.util.List;
import java.util.Objects;
import org.crocusturn.core.Failure;
import org.crocusturn.core.LogPosition;
import org.crocusturn.core.callers.SqlValue;

/** The result of a {@link DatabaseCommand}. */
public sealed interface DatabaseResult {
    /**
     * The command ran and its answer arrived completely.
     *
     * @param columns column names of a read; otherwise empty
     * @param rows rows in order
     * @param updated number of rows that a write changed
     * @param position position of the log entry of a committed write, or the last position visible
     *     to a read
     * @param repeated whether this is the result of an earlier request with the same request id
     */
    record Done(
            List<String> columns,
            List<List<SqlValue>> rows,
            long updated,
            LogPosition position,
            boolean repeated)
            implements DatabaseResult {
        /** Takes defensive copies of the lists. */
        public Done {
            Objects.requireNonNull(position, "position");
            columns = List.copyOf(columns);
            rows = rows.stream().map(List::copyOf).toList();
        }
    }

    /** The database refused the command; the connection remains usable. */
    record Refused(Failure failure) implements DatabaseResult {
        /** Rejects a null failure. */
        public Refused {
            Objects.requireNonNull(failure, "failure");
        }
    }

    /** No valid answer arrived; the connection is closed. */
    record Lost(Failure failure) implements DatabaseResult {
        /** Rejects a null failure. */
        public Lost {
            Objects.requireNonNull(failure, "failure");
        }
    }
}
