package org.crocusturn.core.operators;

/** Specifies whether a data centre is given work. */
public enum DataCentreState {
    /** The data centre is given work. */
    IN_SERVICE,
    /** The data centre is given no new work, and its leases and primaries are moved to others. */
    DRAINED
}
