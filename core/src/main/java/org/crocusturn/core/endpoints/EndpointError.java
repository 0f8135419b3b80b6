package org.crocusturn.core.endpoints;

import org.crocusturn.core.Verdict;

/** Error reported by an endpoint, with its verdict on whether the statement ran. */
public enum EndpointError {
    /** All statement slots and queue entries are in use. */
    OVERLOADED(Verdict.NOT_RUN),
    /** The log has not reached the position that the statement requires. */
    LAGGING(Verdict.NOT_RUN),
    /** The endpoint is not the primary. */
    READ_ONLY(Verdict.NOT_RUN),
    /** No prepared statement has the given name. */
    STATEMENT_UNKNOWN(Verdict.NOT_RUN),
    /** Another endpoint answers at the address. */
    WRONG_ENDPOINT(Verdict.NOT_RUN),
    /** The endpoint has reached its connection limit. */
    CONNECTION_LIMIT(Verdict.NOT_RUN),
    /** The statement is not valid in the state of the connection. */
    MALFORMED(Verdict.NOT_RUN),
    /** The statement ran and failed. */
    FAILED(Verdict.RAN),
    /** The statement ran; its rows are more than this host may keep. */
    ANSWER_TOO_LARGE(Verdict.RAN),
    /** The statement exceeded its timeout. */
    TIMED_OUT(Verdict.MAY_HAVE_RUN),
    /** An unrecognized error; the statement may have run. */
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
