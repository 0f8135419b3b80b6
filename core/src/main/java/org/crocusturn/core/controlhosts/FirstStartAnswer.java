package org.crocusturn.core.controlhosts;

import java.util.Objects;
import org.crocusturn.core.PeerMessage;

/**
 * Answers a {@link FirstStartQuestion}.
 *
 * @param startId number of the question
 * @param finding what the sender knows
 */
public record FirstStartAnswer(long startId, Finding finding) implements PeerMessage {
    /** Checks that the finding is not null. */
    public FirstStartAnswer {
        Objects.requireNonNull(finding, "finding");
    }

    /** Tells what a control host knows about another one that asks for a first start. */
    public enum Finding {
        /** It holds no log, and has the number of the question on disk as the only one. */
        NEW,
        /** It holds a log, or the host that asks had another data folder before. */
        STARTED_BEFORE,
        /** Its settings name other members. */
        OTHER_MEMBERS
    }
}
