package org.crocusturn.core;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * Describes why a request got no regular answer.
 *
 * @param code class of the failure
 * @param verdict whether the request may have run
 * @param message text for people; holds no key and no stack trace
 * @param retryAfter earliest sensible time of a retry, if known
 */
public record Failure(
        ErrorCode code, Verdict verdict, String message, Optional<Duration> retryAfter) {
    /** Checks that no part is null. */
    public Failure {
        Objects.requireNonNull(code, "code");
        Objects.requireNonNull(verdict, "verdict");
        Objects.requireNonNull(message, "message");
        Objects.requireNonNull(retryAfter, "retryAfter");
    }

    /** Creates a failure of a request that did not run. */
    public static Failure notRun(ErrorCode code, String message) {
        return new Failure(code, Verdict.NOT_RUN, message, Optional.empty());
    }

    /** Creates a failure of a request whose outcome is unknown. */
    public static Failure mayHaveRun(String message) {
        return new Failure(
                ErrorCode.OUTCOME_UNKNOWN, Verdict.MAY_HAVE_RUN, message, Optional.empty());
    }

    /** Returns a copy that tells when a retry makes sense. */
    public Failure withRetryAfter(Duration delay) {
        return new Failure(code, verdict, message, Optional.of(delay));
    }
}
