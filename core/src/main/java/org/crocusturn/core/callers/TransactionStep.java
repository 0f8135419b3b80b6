package org.crocusturn.core.callers;

/** Tells how a statement of a session relates to a transaction. */
public enum TransactionStep {
    /** It stands alone. */
    NONE,
    /** It is the first of a transaction that may write. */
    BEGIN,
    /** It is the first of a transaction that only reads. */
    BEGIN_READ_ONLY,
    /** It belongs to the transaction that an earlier statement of the session began. */
    CONTINUE
}
