package org.crocusturn.core.callers;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.crocusturn.core.Failure;
import org.crocusturn.core.LogPosition;

/**
 * The outcome of one statement of a session.
 *
 * @param rows rows in order
 * @param signature signature of the answer by the database; empty if no database answered
 * @param failure reason for the failure, if the statement failed
 * @param transactionFailed whether the statement left the session's transaction in a failed state
 * @param committed position of the write that the statement committed, if any
 */
public record SessionOutcome(
        List<String> rows,
        String signature,
        Optional<Failure> failure,
        boolean transactionFailed,
        Optional<LogPosition> committed) {
    /** Outcome of a statement that succeeded without a database. */
    public static final SessionOutcome DONE = answered(List.of(), "");

    /** Copies the rows. */
    public SessionOutcome {
        rows = List.copyOf(rows);
        Objects.requireNonNull(signature, "signature");
        Objects.requireNonNull(failure, "failure");
        Objects.requireNonNull(committed, "committed");
    }

    /** Creates the outcome of a statement that committed nothing. */
    public static SessionOutcome answered(List<String> rows, String signature) {
        return new SessionOutcome(rows, signature, Optional.empty(), false, Optional.empty());
    }

    /** Creates the outcome of a statement that committed a write. */
    public static SessionOutcome committed(
            List<String> rows, String signature, LogPosition position) {
        return new SessionOutcome(rows, signature, Optional.empty(), false, Optional.of(position));
    }

    /** Creates the outcome of a failed statement. */
    public static SessionOutcome failed(Failure failure, boolean transactionFailed) {
        return new SessionOutcome(
                List.of(), "", Optional.of(failure), transactionFailed, Optional.empty());
    }
}
