package org.crocusturn.daemon.endpoints;

import org.crocusturn.core.endpoints.SessionCommand;

/** Is one connection to an endpoint. Thread-safe; never blocks. */
public interface EndpointSession {
    /** Sends a command; its result follows those of earlier commands. */
    void send(SessionCommand command);

    /** Closes the connection, which rolls back an open transaction; no loss is told then. */
    void close();
}
