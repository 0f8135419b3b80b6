package org.crocusturn.core.callers;

import java.util.Objects;

/**
 * Decides what becomes of the open work of a session whose key was withdrawn or moved to another
 * workspace. All methods are pure.
 *
 * <p>The caller is told with the next answer that it waits for. A statement that has reached an
 * endpoint, a COMMIT among them, ends as if nothing had happened, because only its own answer tells
 * whether it took effect. Everything else does not run any more, and the transaction is rolled back
 * without waiting for the caller.
 */
public final class KeyWithdrawal {
    private KeyWithdrawal() {}

    /**
     * What becomes of the work of a session.
     *
     * @param state session afterwards
     * @param endsAtLeaseholder whether the leaseholder is told to roll back the transaction and to
     *     refuse the statement that it has not sent to an endpoint
     */
    public record Effect(SessionState state, boolean endsAtLeaseholder) {
        /** Checks that the state is not null. */
        public Effect {
            Objects.requireNonNull(state, "state");
        }
    }

    /**
     * Returns what becomes of the work of a session.
     *
     * @param state session before the withdrawal was known
     * @param callSent whether a statement of the session is at a leaseholder
     */
    public static Effect of(SessionState state, boolean callSent) {
        boolean atLeaseholder = state.transactionStarted() || callSent;
        boolean open =
                state.phase() == SessionState.Phase.OPEN
                        || state.phase() == SessionState.Phase.OPEN_READ_ONLY;
        return new Effect(
                open && atLeaseholder ? state.withEndedTransaction() : state, atLeaseholder);
    }
}
