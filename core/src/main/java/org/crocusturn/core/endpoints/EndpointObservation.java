package org.crocusturn.core.endpoints;

import java.util.List;
import java.util.Objects;
import org.crocusturn.core.EndpointId;

/** Is what the status monitor saw of an endpoint. */
public sealed interface EndpointObservation {
    /** Returns the endpoint. */
    EndpointId endpoint();

    /** The endpoint answered with the status of all its databases. */
    record Seen(EndpointId endpoint, List<CopyStatus> copies) implements EndpointObservation {
        /** Copies the list. */
        public Seen {
            Objects.requireNonNull(endpoint, "endpoint");
            copies = List.copyOf(copies);
        }
    }

    /** A connection was refused or reset, and so was an immediate second try. */
    record ConnectionRefused(EndpointId endpoint) implements EndpointObservation {
        /** Checks that the endpoint is not null. */
        public ConnectionRefused {
            Objects.requireNonNull(endpoint, "endpoint");
        }
    }

    /** No answer came within the timeout. */
    record Silent(EndpointId endpoint) implements EndpointObservation {
        /** Checks that the endpoint is not null. */
        public Silent {
            Objects.requireNonNull(endpoint, "endpoint");
        }
    }
}
