package org.crocusturn.daemon.endpoints;

import org.crocusturn.core.endpoints.SessionCommand;

/** Connection to an endpoint. Thread-safe; never blocks. */
public interface EndpointSession {
    /** Sends a command; results arrive in the order of the commands. */
    void send(SessionCommand command);

    /** Closes the connection, which rolls back an open transaction; reports no loss. */
    void close();
}
