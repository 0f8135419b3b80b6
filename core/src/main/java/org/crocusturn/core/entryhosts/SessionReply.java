package org.crocusturn.core.entryhosts;

import java.util.Objects;
import org.crocusturn.core.PeerMessage;
import org.crocusturn.core.callers.SessionOutcome;

/**
 * Answers a {@link SessionCall}.
 *
 * @param id number of the call
 * @param outcome what became of it
 */
public record SessionReply(long id, SessionOutcome outcome) implements PeerMessage {
    /** Checks that the outcome is not null. */
    public SessionReply {
        Objects.requireNonNull(outcome, "outcome");
    }
}
