package org.crocusturn.core.controlhosts;

import java.util.Objects;
import org.crocusturn.core.HostId;
import org.crocusturn.core.operators.ControlCommand;
import org.crocusturn.core.operators.ControlState;

/** Is what a step of the consensus reacts to. */
public sealed interface ConsensusInput {
    /** Time has passed. */
    record Tick() implements ConsensusInput {}

    /** A message of another member arrived. */
    record Received(HostId from, ConsensusMessage message) implements ConsensusInput {
        /** Checks that no part is null. */
        public Received {
            Objects.requireNonNull(from, "from");
            Objects.requireNonNull(message, "message");
        }
    }

    /** A persist and all earlier ones are synced. */
    record Persisted(long sequence) implements ConsensusInput {}

    /** A command should be committed; the id is unique among the host's open proposals. */
    record Propose(long proposalId, ControlCommand command) implements ConsensusInput {
        /** Checks that the command is not null. */
        public Propose {
            Objects.requireNonNull(command, "command");
        }
    }

    /** A member should be added, promoted or removed. */
    record ChangeMembership(long proposalId, MembershipChange change) implements ConsensusInput {
        /** Checks that the change is not null. */
        public ChangeMembership {
            Objects.requireNonNull(change, "change");
        }
    }

    /** The owner of the applied state answers a snapshot request. */
    record SnapshotTaken(long index, ControlState state) implements ConsensusInput {
        /** Checks that the state is not null. */
        public SnapshotTaken {
            Objects.requireNonNull(state, "state");
        }
    }

    /** The leader should hand its leadership to another voter. */
    record TransferRequested() implements ConsensusInput {}
}
