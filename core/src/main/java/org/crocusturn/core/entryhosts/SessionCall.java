package org.crocusturn.core.entryhosts;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.crocusturn.core.GroupId;
import org.crocusturn.core.LogPosition;
import org.crocusturn.core.PeerMessage;
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.callers.PreparedShape;
import org.crocusturn.core.callers.SessionStatement;
import org.crocusturn.core.callers.TransactionStep;
import org.crocusturn.core.operators.Consistency;

/**
 * Message that carries a statement of a session from its entry host to the leaseholder of a group.
 *
 * @param id id of the call, unique within the process of the entry host
 * @param session id of the session, unique within the process of the entry host
 * @param group group that runs the statement
 * @param epoch lease epoch known to the entry host
 * @param workspace workspace of the caller's key
 * @param options execution options from the route
 * @param step relation of the statement to a transaction
 * @param statement the statement
 * @param prepared shape of the prepared statement that it executes, if any
 * @param values session values that must be set while the statement runs
 * @param ownPosition position of the session's latest commit
 */
public record SessionCall(
        long id,
        long session,
        GroupId group,
        long epoch,
        WorkspaceId workspace,
        Options options,
        TransactionStep step,
        SessionStatement statement,
        Optional<PreparedShape> prepared,
        Map<String, String> values,
        LogPosition ownPosition)
        implements PeerMessage {
    /** Copies the values. */
    public SessionCall {
        Objects.requireNonNull(group, "group");
        Objects.requireNonNull(workspace, "workspace");
        Objects.requireNonNull(options, "options");
        Objects.requireNonNull(step, "step");
        Objects.requireNonNull(statement, "statement");
        Objects.requireNonNull(prepared, "prepared");
        values = Map.copyOf(values);
        Objects.requireNonNull(ownPosition, "ownPosition");
    }

    /**
     * Execution options that the route defines for a statement.
     *
     * @param consistency consistency of reads
     * @param maxAgeMillis maximum age of the data that reads accept, in milliseconds
     * @param priority priority; 0 is the highest
     * @param remainingMillis time left for the statement when the call is sent, in milliseconds
     */
    public record Options(
            Consistency consistency, long maxAgeMillis, int priority, long remainingMillis) {
        /** Checks that the consistency is not null. */
        public Options {
            Objects.requireNonNull(consistency, "consistency");
        }
    }

    /** Returns a copy for another lease, with a new id and remaining time. */
    public SessionCall withLease(long newId, long newEpoch, long remainingMillis) {
        return new SessionCall(
                newId,
                session,
                group,
                newEpoch,
                workspace,
                new Options(
                        options.consistency(),
                        options.maxAgeMillis(),
                        options.priority(),
                        remainingMillis),
                step,
                statement,
                prepared,
                values,
                ownPosition);
    }

    /** Returns whether the statement writes. */
    public boolean writes() {
        return switch (statement.kind()) {
            case WRITE -> true;
            case EXECUTE -> prepared.filter(PreparedShape::write).isPresent();
            default -> false;
        };
    }

    /** Returns whether only the primary can run the statement. */
    public boolean needsPrimary() {
        return step == TransactionStep.BEGIN || step == TransactionStep.NONE && writes();
    }
}
