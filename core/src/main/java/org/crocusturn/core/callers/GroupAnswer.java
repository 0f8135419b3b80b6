package org.crocusturn.core.callers;

import java.util.Objects;
import java.util.Optional;

/**
 * The answer of a leaseholder to a successful operation.
 *
 * @param statement answer to a statement; empty for begin, commit and rollback
 * @param transaction transaction that the operation began, if any
 * @param mark positions that the session has seen in the group after the operation
 */
public record GroupAnswer(
        Optional<StatementAnswer> statement,
        Optional<TransactionId> transaction,
        SessionMark mark) {
    /** Checks that no component is null. */
    public GroupAnswer {
        Objects.requireNonNull(statement, "statement");
        Objects.requireNonNull(transaction, "transaction");
        Objects.requireNonNull(mark, "mark");
    }
}
