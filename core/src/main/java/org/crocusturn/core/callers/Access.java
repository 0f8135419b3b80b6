package org.crocusturn.core.callers;

/** States whether a statement may change data. */
public enum Access {
    READ,
    WRITE
}
