package org.crocusturn.core.operators;

/** Tells whether a data centre gets work. */
public enum DataCentreState {
    /** It gets work. */
    IN_SERVICE,
    /** It gets no new work, and what it has is moved away. */
    DRAINED
}
