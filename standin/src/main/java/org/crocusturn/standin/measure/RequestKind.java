package org.crocusturn.standin.measure;

/** The kind of a request. */
public enum RequestKind {
    /** Inserts one row for the session. */
    WRITE,
    /** Reads the last row of the session; has to return the session's own writes. */
    READ,
    /** Reads data that may be up to 5 s old. */
    AGED_READ
}
