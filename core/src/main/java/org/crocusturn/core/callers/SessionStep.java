package org.crocusturn.core.callers;

import java.util.Objects;

/** How an entry host processes a statement of a session. */
public sealed interface SessionStep {
    /**
     * Answers at the entry host. The leaseholder is notified if this ends a transaction that it
     * started.
     */
    record Answer(SessionState state, SessionOutcome outcome, boolean endsTransaction)
            implements SessionStep {
        /** Checks that no component is null. */
        public Answer {
            Objects.requireNonNull(state, "state");
            Objects.requireNonNull(outcome, "outcome");
        }
    }

    /** Forwards the statement to the leaseholder of a route's service. */
    record Forward(RouteAccess access, TransactionStep step) implements SessionStep {
        /** Checks that no component is null. */
        public Forward {
            Objects.requireNonNull(access, "access");
            Objects.requireNonNull(step, "step");
        }
    }
}
