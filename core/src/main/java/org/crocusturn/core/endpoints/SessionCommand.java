package org.crocusturn.core.endpoints;

import java.util.Objects;
import java.util.Optional;
import org.crocusturn.core.LogPosition;
import org.crocusturn.core.callers.PreparedShape;
import org.crocusturn.core.callers.SessionStatement;

/** A command that a leaseholder sends to an endpoint over a connection. */
public sealed interface SessionCommand {
    /** Sets a session value. */
    record SetValue(String name, String value) implements SessionCommand {}

    /** Prepares a statement shape under a name chosen by the leaseholder. */
    record Prepare(String name, PreparedShape shape) implements SessionCommand {}

    /** Discards all session values and prepared statements. */
    record Reset() implements SessionCommand {}

    /** Begins a transaction, after the log has reached a minimum position if one is given. */
    record Begin(boolean readOnly, Optional<LogPosition> minimumPosition)
            implements SessionCommand {
        /** Rejects a null position. */
        public Begin {
            Objects.requireNonNull(minimumPosition, "minimumPosition");
        }
    }

    /**
     * Runs a statement of a caller.
     *
     * @param statement the statement
     * @param preparedName name of the prepared statement on this connection, if one is executed
     * @param minimumPosition position that the log must have reached, for reads
     */
    record Run(
            SessionStatement statement,
            Optional<String> preparedName,
            Optional<LogPosition> minimumPosition)
            implements SessionCommand {
        /** Rejects null components. */
        public Run {
            Objects.requireNonNull(statement, "statement");
            Objects.requireNonNull(preparedName, "preparedName");
            Objects.requireNonNull(minimumPosition, "minimumPosition");
        }
    }

    /** Rolls the transaction back. */
    record Rollback() implements SessionCommand {}

    /** Requests role, term and position. */
    record GetStatus() implements SessionCommand {}

    /** Stops a replica from receiving log entries; the term must be higher than its newest one. */
    record PauseReplication(long term) implements SessionCommand {}

    /** Makes a primary of a lower term a replica. */
    record StepDown(long term) implements SessionCommand {}

    /** Lets a replica receive log entries again. */
    record ResumeReplication() implements SessionCommand {}
}
