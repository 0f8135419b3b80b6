package org.crocusturn.core.callers;

/** Specifies how a statement of a session relates to a transaction. */
public enum TransactionStep {
    /** The statement runs outside a transaction. */
    NONE,
    /** The statement is the first of a transaction that may write. */
    BEGIN,
    /** The statement is the first of a read-only transaction. */
    BEGIN_READ_ONLY,
    /** The statement belongs to a transaction that an earlier statement of the session started. */
    CONTINUE;

    /** Returns whether the statement is the first of a transaction. */
    public boolean begins() {
        return this == BEGIN || this == BEGIN_READ_ONLY;
    }
}
