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
 * Brings a statement of a session from its entry host to the leaseholder of a group.
 *
 * @param id number of the call, unique within the process of the entry host
 * @param session number of the session, unique within the process of the entry host
 * @param group group that runs it
 * @param epoch epoch of the lease that the entry host knows
 * @param workspace workspace of the caller's key
 * @param terms what the route states
 * @param step how the statement relates to a transaction
 * @param statement the statement
 * @param prepared what it executes, if it executes a prepared statement
 * @param values session values that must hold while it runs
 * @param ownPosition position of the session's latest commit
 */
public record SessionCall(
        long id,
        long session,
        GroupId group,
        long epoch,
        WorkspaceId workspace,
        Terms terms,
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
        Objects.requireNonNull(terms, "terms");
        Objects.requireNonNull(step, "step");
        Objects.requireNonNull(statement, "statement");
        Objects.requireNonNull(prepared, "prepared");
        values = Map.copyOf(values);
        Objects.requireNonNull(ownPosition, "ownPosition");
    }

    /**
     * Is what the route states for a statement.
     *
     * @param consistency what reads must see
     * @param maxAgeMillis age of the data that reads accept, in milliseconds
     * @param priority 0 is served first
     * @param remainingMillis time left for the statement when the call was sent, in milliseconds
     */
    public record Terms(
            Consistency consistency, long maxAgeMillis, int priority, long remainingMillis) {
        /** Checks that the consistency is not null. */
        public Terms {
            Objects.requireNonNull(consistency, "consistency");
        }
    }

    /** Returns a copy for another lease, with less time left. */
    public SessionCall withLease(long newId, long newEpoch, long remainingMillis) {
        return new SessionCall(
                newId,
                session,
                group,
                newEpoch,
                workspace,
                new Terms(
                        terms.consistency(),
                        terms.maxAgeMillis(),
                        terms.priority(),
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
