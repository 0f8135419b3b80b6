package org.crocusturn.daemon.operators;

import java.util.Objects;
import org.crocusturn.core.operators.ChangeOutcome;
import org.crocusturn.daemon.net.HttpExchange;

/** Is what the operators' duty reacts to. */
public sealed interface OperatorEvent {
    /** An operator asks for something. */
    record RequestReceived(HttpExchange exchange) implements OperatorEvent {
        /** Checks that the exchange is not null. */
        public RequestReceived {
            Objects.requireNonNull(exchange, "exchange");
        }
    }

    /** The outcome of a change is known. */
    record ChangeDecided(HttpExchange exchange, ChangeOutcome outcome) implements OperatorEvent {
        /** Checks that no part is null. */
        public ChangeDecided {
            Objects.requireNonNull(exchange, "exchange");
            Objects.requireNonNull(outcome, "outcome");
        }
    }

    /** The status is known. */
    record StatusRetrieved(HttpExchange exchange, ControlStatus status) implements OperatorEvent {
        /** Checks that no part is null. */
        public StatusRetrieved {
            Objects.requireNonNull(exchange, "exchange");
            Objects.requireNonNull(status, "status");
        }
    }
}
