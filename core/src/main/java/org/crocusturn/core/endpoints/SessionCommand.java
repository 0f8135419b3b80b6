package org.crocusturn.core.endpoints;

import java.util.Objects;
import java.util.Optional;
import org.crocusturn.core.LogPosition;
import org.crocusturn.core.callers.PreparedShape;
import org.crocusturn.core.callers.SessionStatement;

/** Is what a leaseholder sends over a connection to an endpoint. */
public sealed interface SessionCommand {
    /** Sets a session value. */
    record SetValue(String name, String value) implements SessionCommand {}

    /** Prepares a shape under a name that the leaseholder chose. */
    record Prepare(String name, PreparedShape shape) implements SessionCommand {}

    /** Drops all session values and prepared statements. */
    record Reset() implements SessionCommand {}

    /** Begins a transaction, once the log holds a position if one is given. */
    record Begin(boolean readOnly, Optional<LogPosition> after) implements SessionCommand {
        /** Checks that the position is not null. */
        public Begin {
            Objects.requireNonNull(after, "after");
        }
    }

    /**
     * Runs a caller's statement.
     *
     * @param statement the statement
     * @param preparedName name under which its shape is prepared here, if it executes one
     * @param after position that the log must hold, for reads
     */
    record Run(
            SessionStatement statement, Optional<String> preparedName, Optional<LogPosition> after)
            implements SessionCommand {
        /** Checks that no part is null. */
        public Run {
            Objects.requireNonNull(statement, "statement");
            Objects.requireNonNull(preparedName, "preparedName");
            Objects.requireNonNull(after, "after");
        }
    }

    /** Ends a transaction without keeping anything. */
    record Rollback() implements SessionCommand {}

    /** Asks for role, term and position. */
    record AskStatus() implements SessionCommand {}

    /** Stops a replica from receiving; the term must be above the newest one. */
    record PauseReplication(long term) implements SessionCommand {}

    /** Lets a replica receive again. */
    record ResumeReplication() implements SessionCommand {}
}
