package org.crocusturn.daemon.platform;

import java.util.Objects;
import org.crocusturn.daemon.net.HttpExchange;

/** Is what the lifecycle duty reacts to. */
public sealed interface LifecycleEvent {
    /** The platform asks for the health of the process. */
    record HealthAsked(HttpExchange exchange) implements LifecycleEvent {
        /** Checks that the exchange is not null. */
        public HealthAsked {
            Objects.requireNonNull(exchange, "exchange");
        }
    }

    /** The process knows the state of the system and can serve. */
    record StateKnown() implements LifecycleEvent {}

    /** The platform asks the process to stop. */
    record StopRequested() implements LifecycleEvent {}

    /** The number of requests and leases that are left changed. */
    record BusyChanged(int busy) implements LifecycleEvent {}
}
