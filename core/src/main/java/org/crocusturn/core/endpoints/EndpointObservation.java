package org.crocusturn.core.endpoints;

import java.util.List;
import java.util.Objects;
import org.crocusturn.core.EndpointId;

/** An observation of an endpoint by the status monitor. */
public sealed interface EndpointObservation {
    /** Returns the endpoint. */
    EndpointId endpoint();

    /** The endpoint reported the status of all its databases. */
    record StatusReceived(EndpointId endpoint, List<CopyStatus> copies)
            implements EndpointObservation {
        /** Takes a defensive copy of the list. */
        public StatusReceived {
            Objects.requireNonNull(endpoint, "endpoint");
            copies = List.copyOf(copies);
        }
    }

    /** A connection was refused or reset, and so was an immediate retry. */
    record ConnectionRefused(EndpointId endpoint) implements EndpointObservation {
        /** Rejects a null endpoint. */
        public ConnectionRefused {
            Objects.requireNonNull(endpoint, "endpoint");
        }
    }

    /** The endpoint did not respond within the timeout. */
    record TimedOut(EndpointId endpoint) implements EndpointObservation {
        /** Rejects a null endpoint. */
        public TimedOut {
            Objects.requireNonNull(endpoint, "endpoint");
        }
    }
}
