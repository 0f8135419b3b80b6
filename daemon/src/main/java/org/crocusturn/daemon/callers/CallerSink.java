package org.crocusturn.daemon.callers;

import java.util.Optional;
import org.crocusturn.core.Failure;

/**
 * Receives the requests of a {@link CallerFrontEnd}; called from I/O threads, so it must not block.
 */
@FunctionalInterface
public interface CallerSink {
    /**
     * Accepts a request. Returns false if its ring is full; the request is then refused with
     * verdict "not run".
     */
    boolean offer(ParsedRequest request, AnswerCallback callback);

    /**
     * Returns the failure of a request that is refused regardless of its body, so that the body
     * need not be parsed.
     *
     * <p>The check is optional, because a request that passes is checked again later.
     *
     * @param keyHash SHA-256 of the caller's key, in lower-case hexadecimal
     */
    default Optional<Failure> refusal(String keyHash) {
        return Optional.empty();
    }
}
