package org.crocusturn.core.controlhosts;

import java.util.Objects;
import org.crocusturn.core.operators.ControlCommand;

/** The content of a log entry. */
public sealed interface LogContent {
    /** A command that changes the replicated state, with the id of its proposal. */
    record CommandContent(long proposalId, ControlCommand command) implements LogContent {
        /** Checks that the command is not null. */
        public CommandContent {
            Objects.requireNonNull(command, "command");
        }
    }

    /** A new membership of the consensus group, in force as soon as it is appended. */
    record MembershipContent(Membership membership) implements LogContent {
        /** Checks that the membership is not null. */
        public MembershipContent {
            Objects.requireNonNull(membership, "membership");
        }
    }

    /** No content. A new leader commits such an entry to learn which earlier ones are committed. */
    record EmptyContent() implements LogContent {}
}
