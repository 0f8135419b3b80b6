package org.crocusturn.core.callers;

import java.util.Objects;

/** An operation that a caller requests from the leaseholder of a group. */
public sealed interface GroupOperation {
    /** Returns whether repeating the operation has no further effect, so that it can be retried. */
    boolean idempotent();

    /** Runs one statement outside a transaction. */
    record Execute(Statement statement) implements GroupOperation {
        /** Checks that the statement is not null. */
        public Execute {
            Objects.requireNonNull(statement, "statement");
        }

        @Override
        public boolean idempotent() {
            return statement.idempotent();
        }
    }

    /** Begins a transaction. If the answer is lost, the idle timeout rolls the transaction back. */
    record Begin() implements GroupOperation {
        @Override
        public boolean idempotent() {
            return true;
        }
    }

    /** Runs one statement in an open transaction. */
    record ExecuteInTransaction(TransactionId transaction, Statement statement)
            implements GroupOperation {
        /** Checks that no component is null. */
        public ExecuteInTransaction {
            Objects.requireNonNull(transaction, "transaction");
            Objects.requireNonNull(statement, "statement");
        }

        @Override
        public boolean idempotent() {
            return false;
        }
    }

    /** Commits an open transaction. */
    record Commit(TransactionId transaction) implements GroupOperation {
        /** Checks that the transaction is not null. */
        public Commit {
            Objects.requireNonNull(transaction, "transaction");
        }

        @Override
        public boolean idempotent() {
            return false;
        }
    }

    /** Rolls an open transaction back. */
    record Rollback(TransactionId transaction) implements GroupOperation {
        /** Checks that the transaction is not null. */
        public Rollback {
            Objects.requireNonNull(transaction, "transaction");
        }

        @Override
        public boolean idempotent() {
            return true;
        }
    }
}
