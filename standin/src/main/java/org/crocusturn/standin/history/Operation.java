package org.crocusturn.standin.history;

import java.util.List;
import java.util.Objects;
import org.crocusturn.core.Verdict;

/**
 * A write or read as its caller observed it, over all attempts.
 *
 * @param session session of the caller; operations of one session never overlap
 * @param startNanos monotonic time before the first attempt
 * @param endNanos monotonic time after the last attempt
 * @param verdict {@code RAN} if it was acknowledged
 * @param write number of the write, 0 for a read
 * @param parts number of rows that the write inserts, 0 for a read
 * @param rows rows that an acknowledged read returned
 * @param term term of the database copy that served the operation, 0 if unknown
 * @param detail failure of the last attempt, empty if it was acknowledged
 */
public record Operation(
        int session,
        long startNanos,
        long endNanos,
        Verdict verdict,
        long write,
        int parts,
        List<Row> rows,
        long term,
        String detail) {
    /** Validates the components and copies the rows. */
    public Operation {
        Objects.requireNonNull(verdict, "verdict");
        Objects.requireNonNull(detail, "detail");
        rows = List.copyOf(rows);
    }

    /** Returns whether the operation is a write. */
    public boolean isWrite() {
        return parts > 0;
    }

    /** Returns whether the caller received the response of a completed operation. */
    public boolean isAcknowledged() {
        return verdict == Verdict.RAN;
    }
}
