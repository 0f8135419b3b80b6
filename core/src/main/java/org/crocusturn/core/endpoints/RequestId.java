package org.crocusturn.core.endpoints;

import java.util.Objects;
import org.crocusturn.core.CrocusturnException;
import org.crocusturn.core.Failure;

/**
 * Id of a request of the database protocol; every answer to the request repeats it.
 *
 * <p>An endpoint may give an answer twice, the second time late, or on another connection. An
 * answer is therefore used only if it names the request that waits for it.
 *
 * @param value text that no other request on any connection has
 */
public record RequestId(String value) {
    /** Checks that the text is not empty. */
    public RequestId {
        Objects.requireNonNull(value, "value");
        if (value.isEmpty()) {
            throw new IllegalArgumentException("a request id must not be empty");
        }
    }

    /**
     * Checks that an answer belongs to this request.
     *
     * @param named id that the answer repeats; empty if it repeats none
     * @throws CrocusturnException with verdict "may have run" if the answer names another request
     */
    public void requireNamedBy(String named) {
        if (!value.equals(named)) {
            throw CrocusturnException.of(
                    Failure.mayHaveRun("the answer does not belong to request " + value));
        }
    }
}
