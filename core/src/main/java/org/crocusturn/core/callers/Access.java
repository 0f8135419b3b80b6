package org.crocusturn.core.callers;

/** Specifies whether a statement may modify data. */
public enum Access {
    READ,
    WRITE
}
