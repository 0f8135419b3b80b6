package org.crocusturn.core.endpoints;

import org.crocusturn.core.Verdict;

/** Classifies the errors of an endpoint and tells whether the statement ran. */
public enum EndpointError {
    /** All slots and places in its queue are taken. */
    OVERLOADED(Verdict.NOT_RUN),
    /** Its log lacks the position that the statement asks for. */
    LAGGING(Verdict.NOT_RUN),
    /** It is no primary. */
    READ_ONLY(Verdict.NOT_RUN),
    /** It knows no prepared statement of that name. */
    STATEMENT_UNKNOWN(Verdict.NOT_RUN),
    /** Another endpoint answers at the address. */
    WRONG_ENDPOINT(Verdict.NOT_RUN),
    /** It takes no more connections. */
    CONNECTION_LIMIT(Verdict.NOT_RUN),
    /** The statement is not valid in the state of the connection. */
    MALFORMED(Verdict.NOT_RUN),
    /** The statement ran and failed. */
    FAILED(Verdict.RAN),
    /** The statement ran out of time. */
    TIMED_OUT(Verdict.MAY_HAVE_RUN),
    /** An error that is not known; the worst is assumed. */
    OTHER(Verdict.MAY_HAVE_RUN);

    private final Verdict mVerdict;

    EndpointError(Verdict verdict) {
        mVerdict = verdict;
    }

    /** Returns whether a statement that got this error may have run. */
    public Verdict verdict() {
        return mVerdict;
    }
}
