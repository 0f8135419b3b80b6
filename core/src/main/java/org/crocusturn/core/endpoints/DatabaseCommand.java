package org.crocusturn.core.endpoints;

import java.util.Objects;
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.callers.Statement;

/** Is what a leaseholder asks of one database over one connection. */
public sealed interface DatabaseCommand {
    /**
     * Runs one statement; outside of a transaction it commits by itself.
     *
     * @param term term that the database must have; another one is refused as not run
     * @param statement the statement
     */
    record Run(long term, Statement statement) implements DatabaseCommand {
        /** Checks that the statement is not null. */
        public Run {
            Objects.requireNonNull(statement, "statement");
        }
    }

    /**
     * Runs a write together with the record of its request id, both or neither.
     *
     * @param term term that the database must have
     * @param workspace workspace of the request
     * @param statement write with a request id
     */
    record RunOnce(long term, WorkspaceId workspace, Statement statement)
            implements DatabaseCommand {
        /** Checks that the statement has a request id. */
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
