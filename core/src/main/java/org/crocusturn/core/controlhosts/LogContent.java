package org.crocusturn.core.controlhosts;

import java.util.Objects;
import org.crocusturn.core.operators.ControlCommand;

/** Is what a log entry holds. */
public sealed interface LogContent {
    /** A change of the replicated state, with the id under which it was proposed. */
    record CommandContent(long proposalId, ControlCommand command) implements LogContent {
        /** Checks that the command is not null. */
        public CommandContent {
            Objects.requireNonNull(command, "command");
        }
    }

    /** A change of the consensus group; in force from the moment it is appended. */
    record MembershipContent(Membership membership) implements LogContent {
        /** Checks that the membership is not null. */
        public MembershipContent {
            Objects.requireNonNull(membership, "membership");
        }
    }

    /** Nothing; a new leader commits it to learn what is committed. */
    record EmptyContent() implements LogContent {}
}
