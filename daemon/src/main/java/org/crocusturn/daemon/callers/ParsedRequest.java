package org.crocusturn.daemon.callers;

import java.util.Objects;
import java.util.Optional;

/**
 * Well-formed request of a caller whose key has not been checked yet.
 *
 * @param id id that is unique within the front end
 * @param keyHash SHA-256 of the caller's key, in lower-case hexadecimal, 64 characters
 * @param session encoded session token; empty if the caller sent none
 * @param operation requested operation
 */
public record ParsedRequest(
        long id, String keyHash, Optional<String> session, CallerOperation operation) {
    /** Checks that no part is null. */
    public ParsedRequest {
        Objects.requireNonNull(keyHash, "keyHash");
        Objects.requireNonNull(session, "session");
        Objects.requireNonNull(operation, "operation");
    }

    /** Returns the name of the service. */
    public String service() {
        return operation.service();
    }

    /** Omits the session token, so that it is not logged. */
    @Override
    public String toString() {
        return "ParsedRequest[id=" + id + ", service=" + service() + "]";
    }
}
