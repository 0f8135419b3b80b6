package org.crocusturn.core.entryhosts;

import java.util.Objects;
import org.crocusturn.core.PeerMessage;
import org.crocusturn.core.callers.SessionOutcome;

/**
 * Reply to a {@link SessionCall}.
 *
 * @param id id of the call
 * @param outcome outcome of the statement
 */
public record SessionReply(long id, SessionOutcome outcome) implements PeerMessage {
    /** Checks that the outcome is not null. */
    public SessionReply {
        Objects.requireNonNull(outcome, "outcome");
    }
}
