package org.crocusturn.core.entryhosts;

import java.util.Objects;
import org.crocusturn.core.PeerMessage;
import org.crocusturn.core.callers.Outcome;

/**
 * Reply to a {@link ForwardedRequest}.
 *
 * @param id id of the request
 * @param outcome outcome of the request
 */
public record ForwardedReply(long id, Outcome outcome) implements PeerMessage {
    /** Checks that the outcome is not null. */
    public ForwardedReply {
        Objects.requireNonNull(outcome, "outcome");
    }
}
