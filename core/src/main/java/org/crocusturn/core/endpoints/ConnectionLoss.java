package org.crocusturn.core.endpoints;

/** Tells why a connection to an endpoint cannot be used. */
public enum ConnectionLoss {
    /** Nothing listens at the address. */
    REFUSED,
    /** The endpoint did not answer in time. */
    SILENT,
    /** The endpoint takes no more connections. */
    LIMIT,
    /** Another endpoint answers at the address. */
    WRONG_ENDPOINT,
    /** An open connection was closed. */
    CLOSED
}
