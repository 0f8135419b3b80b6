package org.crocusturn.daemon.platform;

import java.util.Objects;
import org.crocusturn.core.platform.Phase;
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
     * One component counted its remaining work.
     *
     * @param component name of the component
     * @param remaining number of its remaining requests or leases
     * @param phase phase of the process that the component knew when it counted
     */
    record RemainingWorkChanged(String component, int remaining, Phase phase)
            implements LifecycleEvent {
        /** Checks that no part is null. */
        public RemainingWorkChanged {
            Objects.requireNonNull(component, "component");
            Objects.requireNonNull(phase, "phase");
        }
    }
}
