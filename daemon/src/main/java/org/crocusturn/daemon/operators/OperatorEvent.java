package org.crocusturn.daemon.operators;

import java.util.Objects;
import org.crocusturn.core.operators.ChangeOutcome;
import org.crocusturn.daemon.net.HttpExchange;

/** Is what the operators' duty reacts to. */
public sealed interface OperatorEvent {
    /** An operator asks for something. */
    record Asked(HttpExchange exchange) implements OperatorEvent {
        /** Checks that the exchange is not null. */
        public Asked {
            Objects.requireNonNull(exchange, "exchange");
        }
    }

    /** The outcome of a change is known. */
    record Decided(HttpExchange exchange, ChangeOutcome outcome) implements OperatorEvent {
        /** Checks that no part is null. */
        public Decided {
            Objects.requireNonNull(exchange, "exchange");
            Objects.requireNonNull(outcome, "outcome");
        }
    }

    /** The status is known. */
    record StatusKnown(HttpExchange exchange, ControlStatus status) implements OperatorEvent {
        /** Checks that no part is null. */
        public StatusKnown {
            Objects.requireNonNull(exchange, "exchange");
            Objects.requireNonNull(status, "status");
        }
    }
}
