package org.crocusturn.core.controlhosts;

import java.util.Objects;
import org.crocusturn.core.PeerMessage;

/**
 * Answers a {@link FirstStartQuestion}.
 *
 * @param startId id in the question
 * @param finding what the sender knows about the host that asked
 */
public record FirstStartAnswer(long startId, Finding finding) implements PeerMessage {
    /** Checks that the finding is not null. */
    public FirstStartAnswer {
        Objects.requireNonNull(finding, "finding");
    }

    /** What a control host knows about another one that asks for a first start. */
    public enum Finding {
        /** The sender holds no log and has stored the id in the question and no other. */
        NEW,
        /** The sender holds a log, or the host that asks had another data folder before. */
        STARTED_BEFORE,
        /** The settings of the sender name other members. */
        OTHER_MEMBERS
    }
}
