package org.crocusturn.core;

import java.util.Objects;

/** Propagates a {@link Failure} through code that cannot return one. */
public class CrocusturnException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final transient Failure mFailure;

    private CrocusturnException(Failure failure, Throwable cause) {
        super(failure.message(), cause);
        mFailure = failure;
    }

    /** Creates an exception for a failure. */
    public static CrocusturnException of(Failure failure) {
        return new CrocusturnException(Objects.requireNonNull(failure, "failure"), null);
    }

    /** Creates an exception for a request that did not run. */
    public static CrocusturnException notRun(ErrorCode code, String message) {
        return of(Failure.notRun(code, message));
    }

    /** Creates an exception for a failure that has a cause. */
    public static CrocusturnException causedBy(Failure failure, Throwable cause) {
        return new CrocusturnException(Objects.requireNonNull(failure, "failure"), cause);
    }

    /** Returns the failure that this exception carries. */
    public Failure failure() {
        return mFailure;
    }
}
