package org.crocusturn.core.controlhosts;

import java.util.Objects;
import org.crocusturn.core.operators.ControlCommand;

/** The content of a log entry. */
public sealed interface LogContent {
    /** Size in memory that is assumed for an entry without a command, in bytes. */
    long SMALL_ENTRY_BYTES = 512;

    /** Returns the approximate size of the content in memory, in bytes. */
    default long approximateBytes() {
        return SMALL_ENTRY_BYTES;
    }

    /** A command that changes the replicated state, with the id of its proposal. */
    record CommandContent(long proposalId, ControlCommand command) implements LogContent {
        /** Checks that the command is not null. */
        public CommandContent {
            Objects.requireNonNull(command, "command");
        }

        @Override
        public long approximateBytes() {
            return command.approximateBytes();
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
