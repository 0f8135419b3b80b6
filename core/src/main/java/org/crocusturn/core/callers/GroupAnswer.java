package org.crocusturn.core.callers;

import java.util.Objects;
import java.util.Optional;

/**
 * Is the successful answer of a leaseholder.
 *
 * @param statement answer to a statement; empty for begin, commit and rollback
 * @param transaction transaction that was begun; empty otherwise
 * @param mark what the session has seen of the group after the operation
 */
public record GroupAnswer(
        Optional<StatementAnswer> statement,
        Optional<TransactionId> transaction,
        SessionMark mark) {
    /** Checks that no part is null. */
    public GroupAnswer {
        Objects.requireNonNull(statement, "statement");
        Objects.requireNonNull(transaction, "transaction");
        Objects.requireNonNull(mark, "mark");
    }
}
