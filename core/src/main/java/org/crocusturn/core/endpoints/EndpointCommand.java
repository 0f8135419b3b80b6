package org.crocusturn.core.endpoints;

import java.util.Objects;
import org.crocusturn.core.EndpointId;

/** A command that the control leader sends to an endpoint for one of its databases. */
public sealed interface EndpointCommand {
    /** Returns the endpoint. */
    EndpointId endpoint();

    /** Returns the name of the database. */
    String database();

    /** Reject log entries and writes of lower terms. */
    record Fence(EndpointId endpoint, String database, long term) implements EndpointCommand {
        /** Rejects null components. */
        public Fence {
            Objects.requireNonNull(endpoint, "endpoint");
            Objects.requireNonNull(database, "database");
        }
    }

    /** Become the primary of the term. */
    record Promote(EndpointId endpoint, String database, long term) implements EndpointCommand {
        /** Rejects null components. */
        public Promote {
            Objects.requireNonNull(endpoint, "endpoint");
            Objects.requireNonNull(database, "database");
        }
    }

    /** Replicate from the primary of the term and discard log entries that it does not have. */
    record Follow(EndpointId endpoint, String database, long term, String primaryStatusAddress)
            implements EndpointCommand {
        /** Rejects null components. */
        public Follow {
            Objects.requireNonNull(endpoint, "endpoint");
            Objects.requireNonNull(database, "database");
            Objects.requireNonNull(primaryStatusAddress, "primaryStatusAddress");
        }
    }
}
