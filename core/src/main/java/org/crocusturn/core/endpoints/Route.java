package org.crocusturn.core.endpoints;

import java.util.Objects;
import org.crocusturn.core.EndpointId;

/** Is where a statement should run, with the reason for the log. */
public sealed interface Route {
    /** Returns the reason, a short text without data of the caller. */
    String reason();

    /** The statement runs on the primary. */
    record ToPrimary(String reason) implements Route {
        /** Checks that the reason is not null. */
        public ToPrimary {
            Objects.requireNonNull(reason, "reason");
        }
    }

    /** The statement runs on a replica. */
    record ToReplica(EndpointId endpoint, String reason) implements Route {
        /** Checks that no part is null. */
        public ToReplica {
            Objects.requireNonNull(endpoint, "endpoint");
            Objects.requireNonNull(reason, "reason");
        }
    }

    /** The statement waits for a replica until a time, and is then routed again. */
    record Wait(long untilNanos, String reason) implements Route {
        /** Checks that the reason is not null. */
        public Wait {
            Objects.requireNonNull(reason, "reason");
        }
    }
}
