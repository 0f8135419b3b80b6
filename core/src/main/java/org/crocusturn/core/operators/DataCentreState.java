package org.crocusturn.core.operators;

/** Specifies whether a data centre receives work. */
public enum DataCentreState {
    /** The data centre receives new work. */
    IN_SERVICE,
    /** The data centre receives no new work, and its leases and primaries are moved to others. */
    DRAINED
}
