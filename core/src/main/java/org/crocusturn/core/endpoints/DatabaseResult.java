package org.crocusturn.core.endpoints;

import java.util.List;
import java.util.Objects;
import org.crocusturn.core.Failure;
import org.crocusturn.core.LogPosition;
import org.crocusturn.core.callers.SqlValue;

/** Is what became of a {@link DatabaseCommand}. */
public sealed interface DatabaseResult {
    /**
     * The command ran and its answer is whole.
     *
     * @param columns names of the columns; empty for all but reads
     * @param rows rows in order
     * @param updated rows that a write changed
     * @param position for a committed write the term and index of its log entry, for a read the
     *     last position that it saw
     * @param repeated whether the outcome is that of an earlier request with the same request id
     */
    record Done(
            List<String> columns,
            List<List<SqlValue>> rows,
            long updated,
            LogPosition position,
            boolean repeated)
            implements DatabaseResult {
        /** Copies the lists. */
        public Done {
            Objects.requireNonNull(position, "position");
            columns = List.copyOf(columns);
            rows = rows.stream().map(List::copyOf).toList();
        }
    }

    /** The database refused the command; the connection stays usable. */
    record Refused(Failure failure) implements DatabaseResult {
        /** Checks that the failure is not null. */
        public Refused {
            Objects.requireNonNull(failure, "failure");
        }
    }

    /** The answer was lost or does not match; the connection is closed. */
    record Lost(Failure failure) implements DatabaseResult {
        /** Checks that the failure is not null. */
        public Lost {
            Objects.requireNonNull(failure, "failure");
        }
    }
}
