package org.crocusturn.standin.database;

import org.crocusturn.core.Verdict;

/** Thrown when a request is refused; it did not run, or its effects were rolled back. */
final class RefusedException extends RuntimeException {
    static final int BAD_REQUEST = 400;
    static final int CONFLICT = 409;
    static final int TOO_MANY_REQUESTS = 429;

    private static final long serialVersionUID = 1L;

    private final int mStatus;
    private final String mCode;

    private RefusedException(int status, String code, String message) {
        super(message);
        mStatus = status;
        mCode = code;
    }

    static RefusedException badRequest(String code, String message) {
        return new RefusedException(BAD_REQUEST, code, message);
    }

    static RefusedException conflict(String code, String message) {
        return new RefusedException(CONFLICT, code, message);
    }

    static RefusedException tooManyRequests(String code, String message) {
        return new RefusedException(TOO_MANY_REQUESTS, code, message);
    }

    int status() {
        return mStatus;
    }

    String code() {
        return mCode;
    }

    Verdict verdict() {
        return Verdict.NOT_RUN;
    }
}
