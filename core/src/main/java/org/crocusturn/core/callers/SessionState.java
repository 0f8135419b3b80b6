package org.crocusturn.core.callers;

import java.util.Objects;
import java.util.Optional;
import org.crocusturn.core.LogPosition;

/**
 * The state of a session at its entry host between two statements. Immutable.
 *
 * @param context values and prepared statements
 * @param phase state of the session's transaction
 * @param transactionStarted whether the transaction has been started at a leaseholder
 * @param access route and workspace of the open transaction, if any; a change of the route applies
 *     from the next transaction on
 * @param lastCommit position of the session's latest commit
 * @param transactionEnded whether this host has ended the open transaction, which the caller does
 *     not know yet
 */
public record SessionState(
        SessionContext context,
        Phase phase,
        boolean transactionStarted,
        Optional<RouteAccess> access,
        LogPosition lastCommit,
        boolean transactionEnded) {
    /** State of a new session. */
    public static final SessionState NEW =
            new SessionState(
                    SessionContext.EMPTY,
                    Phase.IDLE,
                    false,
                    Optional.empty(),
                    LogPosition.ZERO,
                    false);

    /** Checks that no component is null. */
    public SessionState {
        Objects.requireNonNull(context, "context");
        Objects.requireNonNull(phase, "phase");
        Objects.requireNonNull(access, "access");
        Objects.requireNonNull(lastCommit, "lastCommit");
    }

    /** The state of a session's transaction. */
    public enum Phase {
        /** No transaction is open. */
        IDLE,
        /** A transaction that may write is open. */
        OPEN,
        /** A read-only transaction is open. */
        OPEN_READ_ONLY,
        /** The transaction has failed and only accepts commit and rollback. */
        FAILED
    }

    /** Returns a copy with another context. */
    public SessionState withContext(SessionContext next) {
        return new SessionState(
                next, phase, transactionStarted, access, lastCommit, transactionEnded);
    }

    /** Returns a copy with an open transaction that has not been started at a leaseholder. */
    public SessionState withOpenTransaction(RouteAccess transactionAccess, boolean readOnly) {
        Phase next = readOnly ? Phase.OPEN_READ_ONLY : Phase.OPEN;
        return new SessionState(
                context, next, false, Optional.of(transactionAccess), lastCommit, false);
    }

    /** Returns a copy whose transaction has been started at a leaseholder. */
    public SessionState withStartedTransaction() {
        return new SessionState(context, phase, true, access, lastCommit, transactionEnded);
    }

    /** Returns a copy whose transaction has failed. */
    public SessionState withFailedTransaction() {
        return new SessionState(
                context, Phase.FAILED, transactionStarted, access, lastCommit, false);
    }

    /** Returns a copy without a transaction. */
    public SessionState withoutTransaction() {
        return new SessionState(context, Phase.IDLE, false, Optional.empty(), lastCommit, false);
    }

    /**
     * Returns a copy whose transaction is no longer open at a leaseholder, although the caller has
     * not ended it.
     */
    public SessionState withEndedTransaction() {
        return new SessionState(context, phase, false, access, lastCommit, true);
    }

    /** Returns a copy that includes a commit at a position. */
    public SessionState withCommit(LogPosition position) {
        return new SessionState(
                context,
                phase,
                transactionStarted,
                access,
                lastCommit.max(position),
                transactionEnded);
    }
}
