package org.crocusturn.standin.history;

import java.util.List;
import java.util.Objects;
import org.crocusturn.core.Verdict;

/**
 * Is one write or read as its caller saw it, with all its attempts.
 *
 * @param session session that it belongs to; its operations never overlap
 * @param startNanos monotonic time before the first attempt
 * @param endNanos monotonic time after the last answer
 * @param verdict {@code RAN} if it was acknowledged
 * @param write number of the write, 0 for a read
 * @param parts number of rows that the write inserts, 0 for a read
 * @param rows rows that an acknowledged read returned
 * @param term term of the copy that served it, 0 if unknown
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
    /** Copies the rows. */
    public Operation {
        Objects.requireNonNull(verdict, "verdict");
        Objects.requireNonNull(detail, "detail");
        rows = List.copyOf(rows);
    }

    /** Returns whether this is a write. */
    public boolean isWrite() {
        return parts > 0;
    }

    /** Returns whether the caller got the answer of a completed operation. */
    public boolean isAcknowledged() {
        return verdict == Verdict.RAN;
    }
}
