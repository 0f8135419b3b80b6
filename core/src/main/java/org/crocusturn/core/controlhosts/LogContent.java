package org.crocusturn.core.controlhosts;

import java.util.Objects;
import java.util.function.Supplier;
import org.crocusturn.core.operators.ControlCommand;

/** The content of a log entry. */
public sealed interface LogContent {
    /** Size in memory that is assumed for an entry without a command, in bytes. */
    long SMALL_ENTRY_BYTES = 512;

    /** Returns the approximate size of the content in memory, in bytes. */
    default long approximateBytes() {
        return SMALL_ENTRY_BYTES;
    }

    /** Returns the approximate size of what an entry keeps in memory, in bytes. */
    default long retainedBytes() {
        return approximateBytes();
    }

    /** Returns this content, or the one that a {@link StoredContent} refers to. */
    default LogContent loaded() {
        return this;
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

    /**
     * A command that is read from the data folder each time it is needed, so that a member can
     * start with a log that is larger than its heap.
     *
     * @param approximateBytes approximate size of the command in memory once it is loaded, in bytes
     * @param source reads the command; throws a {@link RuntimeException} if that fails
     */
    record StoredContent(long approximateBytes, Supplier<LogContent> source) implements LogContent {
        /** Checks that the source is not null. */
        public StoredContent {
            Objects.requireNonNull(source, "source");
        }

        @Override
        public long retainedBytes() {
            return SMALL_ENTRY_BYTES;
        }

        @Override
        public LogContent loaded() {
            return source.get();
        }
    }
}
