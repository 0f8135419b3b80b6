package org.crocusturn.core.endpoints;

import java.util.Objects;
import org.crocusturn.core.EndpointId;

/** Routing decision for a statement, with the reason for the log. */
public sealed interface Route {
    /** Returns the reason, a short text that contains no caller data. */
    String reason();

    /** The statement runs on the primary. */
    record ToPrimary(String reason) implements Route {
        /** Rejects a null reason. */
        public ToPrimary {
            Objects.requireNonNull(reason, "reason");
        }
    }

    /** The statement runs on a replica. */
    record ToReplica(EndpointId endpoint, String reason) implements Route {
        /** Rejects null components. */
        public ToReplica {
            Objects.requireNonNull(endpoint, "endpoint");
            Objects.requireNonNull(reason, "reason");
        }
    }

    /**
     * The statement waits for a replica, at most until the given time, and is then routed again.
     */
    record Wait(long untilNanos, String reason) implements Route {
        /** Rejects a null reason. */
        public Wait {
            Objects.requireNonNull(reason, "reason");
        }
    }
}
