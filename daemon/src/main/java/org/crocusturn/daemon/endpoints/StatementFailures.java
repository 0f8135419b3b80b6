package org.crocusturn.daemon.endpoints;

import java.time.Duration;
import java.util.Optional;
import org.crocusturn.core.ErrorCode;
import org.crocusturn.core.Failure;
import org.crocusturn.core.Verdict;
import org.crocusturn.core.endpoints.EndpointError;
import org.crocusturn.core.endpoints.RetryDecision;

/** Creates the failures that are returned to callers when a statement is not retried. */
final class StatementFailures {
    /** Delay after which callers should retry a refused statement. */
    static final Duration RETRY_AFTER = Duration.ofMillis(100);

    private StatementFailures() {}

    /** Returns the failure of a statement that has no attempts left. */
    static Failure attemptsExhausted(
            RetryDecision.RetryClass retryClass, Optional<EndpointError> error) {
        if (retryClass != RetryDecision.RetryClass.READ
                && retryClass != RetryDecision.RetryClass.WRITE) {
            return Failure.notRun(ErrorCode.TRANSACTION_LOST, "the copy remained overloaded");
        }
        boolean ran = error.filter(e -> e.verdict() != Verdict.NOT_RUN).isPresent();
        return ran
                ? new Failure(
                        ErrorCode.DATABASE_REFUSED,
                        Verdict.RAN,
                        "the statement failed in the database",
                        Optional.empty())
                : Failure.notRun(ErrorCode.OVERLOADED, "no copy could run the statement")
                        .withRetryAfter(RETRY_AFTER);
    }

    /** Returns an error that says that a lost statement did not run, unless it was sent. */
    static Optional<EndpointError> errorUnlessSent(boolean sent) {
        return sent ? Optional.empty() : Optional.of(EndpointError.READ_ONLY);
    }

    /** Returns the failure of a statement whose deadline has passed. */
    static Failure timedOut(boolean sent) {
        return sent
                ? new Failure(
                        ErrorCode.TIMED_OUT,
                        Verdict.MAY_HAVE_RUN,
                        "the database did not answer in time",
                        Optional.empty())
                : Failure.notRun(ErrorCode.OVERLOADED, "the statement was not sent in time");
    }
}
