package org.crocusturn.core.controlhosts;

import java.util.Objects;
import org.crocusturn.core.PeerMessage;
import org.crocusturn.core.operators.EndpointRecord;

/**
 * Passes what an endpoint said of itself from the control host that heard it to the leader.
 *
 * @param endpoint the endpoint
 * @param gone whether it has ended
 */
public record EndpointNotice(EndpointRecord endpoint, boolean gone) implements PeerMessage {
    /** Checks that the endpoint is not null. */
    public EndpointNotice {
        Objects.requireNonNull(endpoint, "endpoint");
    }
}
