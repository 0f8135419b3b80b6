package org.crocusturn.core.endpoints;

import java.util.Objects;
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.callers.Statement;

/** A command that a leaseholder sends to a database over one connection. */
public sealed interface DatabaseCommand {
    /**
     * Runs one statement, in autocommit mode if no transaction is open.
     *
     * @param term term that the database must be in; otherwise it refuses the command without
     *     running it
     * @param statement the statement
     */
    record Run(long term, Statement statement) implements DatabaseCommand {
        /** Rejects a null statement. */
        public Run {
            Objects.requireNonNull(statement, "statement");
        }
    }

    /**
     * Runs a write and records its request id atomically.
     *
     * @param term term that the database must be in
     * @param workspace workspace that sent the request
     * @param statement write with a request id
     */
    record RunOnce(long term, WorkspaceId workspace, Statement statement)
            implements DatabaseCommand {
        /** Rejects a statement without a request id. */
        public RunOnce {
            Objects.requireNonNull(workspace, "workspace");
            if (statement.requestId().isEmpty()) {
                throw new IllegalArgumentException("the statement has no request id");
            }
        }
    }

    /** Begins a transaction on the connection. */
    record Begin(long term) implements DatabaseCommand {}

    /** Commits the transaction of the connection. */
    record Commit(long term) implements DatabaseCommand {}

    /** Rolls the transaction of the connection back. */
    record Rollback() implements DatabaseCommand {}
}
