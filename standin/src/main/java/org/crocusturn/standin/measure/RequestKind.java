package org.crocusturn.standin.measure;

/** Is what a request of the load asks for. */
public enum RequestKind {
    /** Inserts one row of the session. */
    WRITE,
    /** Reads the session's last row; it has to see the session's own writes. */
    READ,
    /** Reads with a stated age of 5 s. */
    AGED_READ
}
