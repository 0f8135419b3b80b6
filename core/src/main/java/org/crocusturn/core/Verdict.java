package org.crocusturn.core;

/** States whether a request may have taken effect on a database. */
public enum Verdict {
    /** The request did not run and never will; it can be retried. */
    NOT_RUN("not_run"),
    /** The request ran to completion. */
    RAN("ran"),
    /** The outcome is unknown; only an idempotent request can be retried. */
    MAY_HAVE_RUN("may_have_run");

    private final String mWireName;

    Verdict(String wireName) {
        mWireName = wireName;
    }

    /** Returns the name used in messages to callers. */
    public String wireName() {
        return mWireName;
    }
}
