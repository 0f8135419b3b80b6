package org.crocusturn.daemon.callers;

import java.util.Optional;
import org.crocusturn.core.Failure;

/**
 * Takes the requests of a {@link CallerFrontEnd}; called from I/O threads, so it must not block.
 */
@FunctionalInterface
public interface CallerSink {
    /**
     * Takes a request and returns true, or returns false if its ring is full; the request is then
     * refused as not run.
     */
    boolean offer(ParsedRequest request, AnswerCallback callback);

    /**
     * Returns why a request is refused whatever its body holds, so that a refusal costs no parsing.
     *
     * <p>A request that passes is checked again later; an implementation may know nothing.
     *
     * @param keyHash SHA-256 of the caller's key, in lower-case hexadecimal
     */
    default Optional<Failure> refusal(String keyHash) {
        return Optional.empty();
    }
}
