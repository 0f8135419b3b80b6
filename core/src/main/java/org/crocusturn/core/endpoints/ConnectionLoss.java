package org.crocusturn.core.endpoints;

/** The reason why a connection to an endpoint cannot be used. */
public enum ConnectionLoss {
    /** No process listens at the address. */
    REFUSED,
    /** The endpoint did not respond within the timeout. */
    SILENT,
    /** The endpoint has reached its connection limit. */
    LIMIT,
    /** Another endpoint answers at the address. */
    WRONG_ENDPOINT,
    /** An established connection was closed. */
    CLOSED
}
