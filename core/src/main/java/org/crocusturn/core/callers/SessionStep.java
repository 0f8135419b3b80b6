package org.crocusturn.core.callers;

import java.util.Objects;
import org.crocusturn.core.operators.Route;

/** Is what an entry host does with a statement of a session. */
public sealed interface SessionStep {
    /** Answers by itself; the leaseholder is told if the session's transaction ended. */
    record Answer(SessionState state, SessionOutcome outcome, boolean endsTransaction)
            implements SessionStep {
        /** Checks that no part is null. */
        public Answer {
            Objects.requireNonNull(state, "state");
            Objects.requireNonNull(outcome, "outcome");
        }
    }

    /** Sends the statement to the leaseholder of a route's service. */
    record Forward(Route route, TransactionStep step) implements SessionStep {
        /** Checks that no part is null. */
        public Forward {
            Objects.requireNonNull(route, "route");
            Objects.requireNonNull(step, "step");
        }
    }
}
