package org.crocusturn.daemon.platform;

import java.util.Objects;
import org.crocusturn.daemon.net.HttpExchange;

/** Is what the lifecycle duty reacts to. */
public sealed interface LifecycleEvent {
    /** The platform asks for the health of the process. */
    record HealthRequested(HttpExchange exchange) implements LifecycleEvent {
        /** Checks that the exchange is not null. */
        public HealthRequested {
            Objects.requireNonNull(exchange, "exchange");
        }
    }

    /** The process knows the state of the system and can serve. */
    record StateReceived() implements LifecycleEvent {}

    /** The platform asks the process to stop. */
    record StopRequested() implements LifecycleEvent {}

    /**
     * The work that one part has left changed.
     *
     * @param component name of the part
     * @param remaining number of its requests or leases
     */
    record RemainingWorkChanged(String component, int remaining) implements LifecycleEvent {
        /** Checks that the part is not null. */
        public RemainingWorkChanged {
            Objects.requireNonNull(component, "part");
        }
    }
}
