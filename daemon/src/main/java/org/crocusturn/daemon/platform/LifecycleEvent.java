package org.crocusturn.daemon.platform;

import java.util.Objects;
import org.crocusturn.daemon.net.HttpExchange;

/** Event handled by {@link LifecycleDuty}. */
public sealed interface LifecycleEvent {
    /** The platform requested the health of the process. */
    record HealthRequested(HttpExchange exchange) implements LifecycleEvent {
        /** Checks that the exchange is not null. */
        public HealthRequested {
            Objects.requireNonNull(exchange, "exchange");
        }
    }

    /** The process received the state of the system and can serve. */
    record StateReceived() implements LifecycleEvent {}

    /** The platform requested a stop of the process. */
    record StopRequested() implements LifecycleEvent {}

    /**
     * The remaining work of one component changed.
     *
     * @param component name of the component
     * @param remaining number of its remaining requests or leases
     */
    record RemainingWorkChanged(String component, int remaining) implements LifecycleEvent {
        /** Checks that the component is not null. */
        public RemainingWorkChanged {
            Objects.requireNonNull(component, "component");
        }
    }
}
