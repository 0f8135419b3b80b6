package org.crocusturn.core.endpoints;

import java.util.Objects;
import org.crocusturn.core.EndpointId;

/** Is what the control leader orders an endpoint to do with one of its databases. */
public sealed interface EndpointCommand {
    /** Returns the endpoint. */
    EndpointId endpoint();

    /** Returns the name of the database. */
    String database();

    /** Accept no entry and no write of a term below this one. */
    record Fence(EndpointId endpoint, String database, long term) implements EndpointCommand {
        /** Checks that no part is null. */
        public Fence {
            Objects.requireNonNull(endpoint, "endpoint");
            Objects.requireNonNull(database, "database");
        }
    }

    /** Become primary of a term. */
    record Promote(EndpointId endpoint, String database, long term) implements EndpointCommand {
        /** Checks that no part is null. */
        public Promote {
            Objects.requireNonNull(endpoint, "endpoint");
            Objects.requireNonNull(database, "database");
        }
    }

    /** Follow the primary of a term; drop entries that it does not have. */
    record Follow(EndpointId endpoint, String database, long term, String primaryStatusAddress)
            implements EndpointCommand {
        /** Checks that no part is null. */
        public Follow {
            Objects.requireNonNull(endpoint, "endpoint");
            Objects.requireNonNull(database, "database");
            Objects.requireNonNull(primaryStatusAddress, "primaryStatusAddress");
        }
    }
}
