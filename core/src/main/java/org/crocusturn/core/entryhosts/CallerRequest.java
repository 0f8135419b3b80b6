package org.crocusturn.core.entryhosts;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import org.crocusturn.core.callers.GroupOperation;
import org.crocusturn.core.callers.SessionToken;

/**
 * Is a request as a caller sent it, without the key itself.
 *
 * @param id number that is unique within this host
 * @param keyHash SHA-256 of the key in lower-case hexadecimal; empty if there was no key
 * @param token session token with a valid signature; empty if the caller sent none
 * @param service service that the request names
 * @param operation what to do
 * @param deadlineNanos monotonic time at which the caller is answered at the latest
 */
public record CallerRequest(
        long id,
        String keyHash,
        Optional<SessionToken> token,
        String service,
        GroupOperation operation,
        long deadlineNanos) {
    /** Time that a request gets if its caller does not say otherwise. */
    public static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(5);

    /** Checks that no part is null. */
    public CallerRequest {
        Objects.requireNonNull(keyHash, "keyHash");
        Objects.requireNonNull(token, "token");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(operation, "operation");
    }

    @Override
    public String toString() {
        return "CallerRequest[" + id + ", " + service + "]";
    }
}
