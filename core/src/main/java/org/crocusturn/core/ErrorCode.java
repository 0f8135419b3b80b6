package org.crocusturn.core;

/** Classifies every rejection and failure that a caller or an operator can see. */
public enum ErrorCode {
    MALFORMED_REQUEST,
    DATABASE_REFUSED,
    SESSION_INVALID,
    SESSION_LOST,
    KEY_REFUSED,
    FORBIDDEN,
    NOT_FOUND,
    CONFLICT,
    TOO_LARGE,
    RATE_LIMITED,
    OVERLOADED,
    UNAVAILABLE,
    MOVED,
    TIMED_OUT,
    TRANSACTION_LOST,
    OUTCOME_UNKNOWN,
    INTERNAL;

    /** Returns the name used in messages to callers: the constant's name in lower case. */
    public String wireName() {
        return name().toLowerCase(java.util.Locale.ROOT);
    }
}
