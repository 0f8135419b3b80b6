package org.crocusturn.daemon.endpoints;

import java.time.Duration;
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.operators.EndpointRecord;

/** Opens connections to endpoints in the endpoints' protocol. */
public interface EndpointConnector {
    /**
     * Opens a connection and returns at once.
     *
     * @param endpoint the endpoint; another one at its address must refuse
     * @param workspace workspace on whose behalf statements will run
     * @param timeout time for the opening
     * @param listener hears of the connection
     */
    EndpointSession open(
            EndpointRecord endpoint,
            WorkspaceId workspace,
            Duration timeout,
            EndpointSessionListener listener);
}
