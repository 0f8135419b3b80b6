package org.crocusturn.daemon.endpoints;

import java.time.Duration;
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.operators.EndpointRecord;

/** Opens connections to endpoints with the protocol of the endpoint. */
public interface EndpointConnector {
    /**
     * Starts opening a connection and returns without waiting for it.
     *
     * @param endpoint the endpoint; a different endpoint at its address must refuse the connection
     * @param workspace workspace on whose behalf statements will run
     * @param timeout timeout for opening the connection
     * @param listener receives the events of the connection
     */
    EndpointSession open(
            EndpointRecord endpoint,
            WorkspaceId workspace,
            Duration timeout,
            EndpointSessionListener listener);
}
