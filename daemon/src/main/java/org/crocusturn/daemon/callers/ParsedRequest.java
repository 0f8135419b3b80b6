package org.crocusturn.daemon.callers;

import java.util.Objects;
import java.util.Optional;

/**
 * Is a well-formed request of a caller whose key has not been checked yet.
 *
 * @param id number that is unique within the front end
 * @param keyHash SHA-256 of the caller's key, in lower-case hexadecimal, 64 characters
 * @param session text of the session token; empty if the caller sent none
 * @param operation what to do
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

    /** Leaves out the session token, so that it cannot reach a log. */
    @Override
    public String toString() {
        return "ParsedRequest[id=" + id + ", service=" + service() + "]";
    }
}
