package org.crocusturn.core.entryhosts;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import org.crocusturn.core.callers.GroupOperation;
import org.crocusturn.core.callers.SessionToken;

/**
 * A request of a caller, with a hash in place of the key.
 *
 * @param id id that is unique within this host
 * @param keyHash SHA-256 of the key in lower-case hexadecimal; empty if there was no key
 * @param token session token with a valid signature; empty if the caller sent none
 * @param service name of the requested service
 * @param operation operation to run
 * @param deadlineNanos monotonic time by which the caller must be answered
 */
public record CallerRequest(
        long id,
        String keyHash,
        Optional<SessionToken> token,
        String service,
        GroupOperation operation,
        long deadlineNanos) {
    /** Timeout of a request whose caller sets none. */
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
