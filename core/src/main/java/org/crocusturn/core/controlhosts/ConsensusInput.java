package org.crocusturn.core.controlhosts;

import java.util.Objects;
import org.crocusturn.core.HostId;
import org.crocusturn.core.operators.ControlCommand;
import org.crocusturn.core.operators.ControlState;

/** An event that a step of the consensus processes. */
public sealed interface ConsensusInput {
    /** A timer expired. */
    record Tick() implements ConsensusInput {}

    /** Returns the approximate size of the entries or the state in memory, in bytes. */
    default long approximateBytes() {
        return 0;
    }

    /** A message from another member arrived. */
    record Received(HostId from, ConsensusMessage message) implements ConsensusInput {
        /** Checks that no part is null. */
        public Received {
            Objects.requireNonNull(from, "from");
            Objects.requireNonNull(message, "message");
        }

        @Override
        public long approximateBytes() {
            if (message instanceof ConsensusMessage.AppendRequest append) {
                return append.entries().stream()
                        .mapToLong(e -> e.content().approximateBytes())
                        .sum();
            }
            return message instanceof ConsensusMessage.InstallSnapshot install
                    ? install.snapshot().state().configuration().approximateBytes()
                    : 0;
        }
    }

    /** A persist and all earlier ones are synced. */
    record Persisted(long sequence) implements ConsensusInput {}

    /** A request to commit a command; the id is unique among the open proposals of the host. */
    record Propose(long proposalId, ControlCommand command) implements ConsensusInput {
        /** Checks that the command is not null. */
        public Propose {
            Objects.requireNonNull(command, "command");
        }

        @Override
        public long approximateBytes() {
            return command.approximateBytes();
        }
    }

    /** A request to add, promote or remove a member. */
    record ChangeMembership(long proposalId, MembershipChange change) implements ConsensusInput {
        /** Checks that the change is not null. */
        public ChangeMembership {
            Objects.requireNonNull(change, "change");
        }
    }

    /** The applied state that a {@link ConsensusAction.TakeSnapshot} requested. */
    record SnapshotTaken(long index, ControlState state) implements ConsensusInput {
        /** Checks that the state is not null. */
        public SnapshotTaken {
            Objects.requireNonNull(state, "state");
        }
    }

    /** Pauses or resumes applying, while the caller has not processed earlier commands. */
    record ApplyPaused(boolean paused) implements ConsensusInput {}

    /** A request to transfer the leadership to another voter. */
    record TransferRequested() implements ConsensusInput {}

    /** A request not to count any more, because this host is about to stop. */
    record ResignRequested() implements ConsensusInput {}
}
