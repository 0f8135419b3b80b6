package org.crocusturn.daemon.operators;

import java.util.Objects;
import java.util.function.Function;
import org.crocusturn.core.operators.ChangeOutcome;
import org.crocusturn.daemon.net.HttpExchange;
import org.crocusturn.daemon.net.HttpResponse;

/** Event handled by {@link OperatorDuty}. */
public sealed interface OperatorEvent {
    /** An operator request was received. */
    record RequestReceived(HttpExchange exchange) implements OperatorEvent {
        /** Checks that the exchange is not null. */
        public RequestReceived {
            Objects.requireNonNull(exchange, "exchange");
        }
    }

    /** The outcome of a change was decided. */
    record ChangeDecided(HttpExchange exchange, ChangeOutcome outcome) implements OperatorEvent {
        /** Checks that no component is null. */
        public ChangeDecided {
            Objects.requireNonNull(exchange, "exchange");
            Objects.requireNonNull(outcome, "outcome");
        }
    }

    /**
     * The status that an operator asked for was retrieved.
     *
     * @param encoder encodes the part of the status that was asked for
     */
    record StatusRetrieved(
            HttpExchange exchange,
            ControlStatus status,
            Function<ControlStatus, HttpResponse> encoder)
            implements OperatorEvent {
        /** Checks that no component is null. */
        public StatusRetrieved {
            Objects.requireNonNull(exchange, "exchange");
            Objects.requireNonNull(status, "status");
            Objects.requireNonNull(encoder, "encoder");
        }
    }
}
