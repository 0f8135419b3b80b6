package org.crocusturn.core.callers;

import java.util.Objects;
import java.util.Optional;
import org.crocusturn.core.LogPosition;
import org.crocusturn.core.operators.Route;

/**
 * Is what an entry host knows of one session between two statements. Immutable.
 *
 * @param context values and prepared statements
 * @param phase transaction of the session
 * @param begun whether a leaseholder knows the transaction
 * @param route route of the open transaction; a change of routes applies from the next one on
 * @param ownPosition position of the session's latest commit
 */
public record SessionState(
        SessionContext context,
        Phase phase,
        boolean begun,
        Optional<Route> route,
        LogPosition ownPosition) {
    /** State of a new session. */
    public static final SessionState NEW =
            new SessionState(
                    SessionContext.EMPTY, Phase.IDLE, false, Optional.empty(), LogPosition.ZERO);

    /** Checks that no part is null. */
    public SessionState {
        Objects.requireNonNull(context, "context");
        Objects.requireNonNull(phase, "phase");
        Objects.requireNonNull(route, "route");
        Objects.requireNonNull(ownPosition, "ownPosition");
    }

    /** Is the transaction of a session. */
    public enum Phase {
        /** There is none. */
        IDLE,
        /** One is open that may write. */
        OPEN,
        /** One is open that only reads. */
        OPEN_READ_ONLY,
        /** One has failed and can only be ended. */
        FAILED
    }

    /** Returns a copy with another context. */
    public SessionState withContext(SessionContext next) {
        return new SessionState(next, phase, begun, route, ownPosition);
    }

    /** Returns a copy in which a transaction is open that no leaseholder knows yet. */
    public SessionState withTransaction(Route its, boolean readOnly) {
        Phase next = readOnly ? Phase.OPEN_READ_ONLY : Phase.OPEN;
        return new SessionState(context, next, false, Optional.of(its), ownPosition);
    }

    /** Returns a copy whose transaction is known to a leaseholder. */
    public SessionState withBegun() {
        return new SessionState(context, phase, true, route, ownPosition);
    }

    /** Returns a copy whose transaction has failed. */
    public SessionState withFailed() {
        return new SessionState(context, Phase.FAILED, begun, route, ownPosition);
    }

    /** Returns a copy without a transaction. */
    public SessionState withIdle() {
        return new SessionState(context, Phase.IDLE, false, Optional.empty(), ownPosition);
    }

    /** Returns a copy whose latest commit is at a position. */
    public SessionState withCommit(LogPosition position) {
        return new SessionState(context, phase, begun, route, ownPosition.max(position));
    }
}
