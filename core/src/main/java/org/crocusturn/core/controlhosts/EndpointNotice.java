package org.crocusturn.core.controlhosts;

import java.util.Objects;
import org.crocusturn.core.PeerMessage;
import org.crocusturn.core.operators.EndpointRecord;

/**
 * Forwards the announcement of an endpoint from the control host that received it to the leader.
 *
 * @param endpoint the endpoint as it described itself
 * @param gone whether the endpoint has stopped
 */
public record EndpointNotice(EndpointRecord endpoint, boolean gone) implements PeerMessage {
    /** Checks that the endpoint is not null. */
    public EndpointNotice {
        Objects.requireNonNull(endpoint, "endpoint");
    }
}
