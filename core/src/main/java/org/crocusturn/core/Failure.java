package org.crocusturn.core;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * Describes why a request was not answered successfully.
 *
 * @param code category of the failure
 * @param verdict whether the request may have run
 * @param message human-readable text; must not contain a key or a stack trace
 * @param retryAfter delay after which a retry may succeed, if known
 */
public record Failure(
        ErrorCode code, Verdict verdict, String message, Optional<Duration> retryAfter) {
    /** Checks that no component is null. */
    public Failure {
        Objects.requireNonNull(code, "code");
        Objects.requireNonNull(verdict, "verdict");
        Objects.requireNonNull(message, "message");
        Objects.requireNonNull(retryAfter, "retryAfter");
    }

    /** Creates a failure for a request that did not run. */
    public static Failure notRun(ErrorCode code, String message) {
        return new Failure(code, Verdict.NOT_RUN, message, Optional.empty());
    }

    /** Creates a failure for a request whose outcome is unknown. */
    public static Failure mayHaveRun(String message) {
        return new Failure(
                ErrorCode.OUTCOME_UNKNOWN, Verdict.MAY_HAVE_RUN, message, Optional.empty());
    }

    /** Returns a copy with a delay after which a retry may succeed. */
    public Failure withRetryAfter(Duration delay) {
        return new Failure(code, verdict, message, Optional.of(delay));
    }
}
