package org.crocusturn.daemon.net;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import org.crocusturn.core.ErrorCode;
import org.crocusturn.core.Failure;
import org.crocusturn.core.Verdict;

/** Converts failures to HTTP responses; defines the HTTP status of each error code. */
public final class FailureResponse {
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;
    private static final long MILLIS_PER_SECOND = 1_000;

    private FailureResponse() {}

    /** Returns the response for a failure, with a {@code retry-after} header if it has a delay. */
    public static HttpResponse of(Failure failure) {
        HttpResponse response = HttpResponse.json(status(failure), Json.write(body(failure)));
        if (failure.code() == ErrorCode.KEY_REFUSED) {
            response = response.withHeader("www-authenticate", "Bearer");
        }
        return failure.retryAfter().isEmpty()
                ? response
                : response.withHeader(
                        "retry-after", toSecondsRoundedUp(failure.retryAfter().get()));
    }

    /** Returns the JSON body of a failure, for responses that add fields to it. */
    public static ObjectNode body(Failure failure) {
        ObjectNode body =
                Json.object()
                        .put("code", failure.code().wireName())
                        .put("message", failure.message())
                        .put("verdict", failure.verdict().wireName());
        failure.retryAfter().ifPresent(delay -> body.put("retryAfterMillis", delay.toMillis()));
        return body;
    }

    /** Returns the HTTP status of a failure; 503 always means that the request did not run. */
    public static int status(Failure failure) {
        int status = status(failure.code());
        boolean outcomeUnknown =
                failure.verdict() == Verdict.MAY_HAVE_RUN && failure.code() != ErrorCode.INTERNAL;
        boolean mayHaveRun = status == SERVICE_UNAVAILABLE && failure.verdict() != Verdict.NOT_RUN;
        return outcomeUnknown || mayHaveRun ? GATEWAY_TIMEOUT : status;
    }

    private static int status(ErrorCode code) {
        return switch (code) {
            case MALFORMED_REQUEST, DATABASE_REFUSED, SESSION_INVALID -> 400;
            case KEY_REFUSED -> 401;
            case FORBIDDEN -> 403;
            case NOT_FOUND -> 404;
            case CONFLICT, SESSION_LOST, TRANSACTION_LOST -> 409;
            case TOO_LARGE -> 413;
            case RATE_LIMITED -> 429;
            case OVERLOADED, UNAVAILABLE, MOVED, TIMED_OUT -> SERVICE_UNAVAILABLE;
            case OUTCOME_UNKNOWN -> GATEWAY_TIMEOUT;
            case INTERNAL -> 500;
        };
    }

    private static String toSecondsRoundedUp(Duration delay) {
        return Long.toString((delay.toMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND);
    }
}
