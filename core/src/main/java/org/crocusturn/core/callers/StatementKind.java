package org.crocusturn.core.callers;

/** Classifies the statements of a session. */
public enum StatementKind {
    BEGIN,
    BEGIN_READ_ONLY,
    COMMIT,
    ROLLBACK,
    READ,
    WRITE,
    SET_VALUE,
    PREPARE_READ,
    PREPARE_WRITE,
    EXECUTE,
    DEALLOCATE,
    /** The text or the id of the statement is not valid. */
    UNKNOWN;

    /** Returns whether the statement changes only the session's context and needs no database. */
    public boolean isLocal() {
        return this == SET_VALUE
                || this == PREPARE_READ
                || this == PREPARE_WRITE
                || this == DEALLOCATE;
    }

    /** Returns whether the statement ends a transaction. */
    public boolean endsTransaction() {
        return this == COMMIT || this == ROLLBACK;
    }
}
