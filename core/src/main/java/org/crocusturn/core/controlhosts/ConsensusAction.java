package org.crocusturn.core.controlhosts;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.crocusturn.core.HostId;

/** Is what the owner of the consensus state has to do, in order. */
public sealed interface ConsensusAction {
    /** Sends a message. */
    record Send(HostId to, ConsensusMessage message) implements ConsensusAction {
        /** Checks that no part is null. */
        public Send {
            Objects.requireNonNull(to, "to");
            Objects.requireNonNull(message, "message");
        }
    }

    /**
     * Writes and syncs, in the order snapshot, log, hard state; persists are done in sequence.
     *
     * @param sequence number to confirm
     * @param hard hard state
     * @param snapshot new snapshot; the log then consists of the entries of this persist only
     * @param fromIndex index from which on the log is replaced by the entries
     * @param entries entries from that index on
     */
    record Persist(
            long sequence,
            HardState hard,
            Optional<Snapshot> snapshot,
            long fromIndex,
            List<LogEntry> entries)
            implements ConsensusAction {
        /** Copies the entries. */
        public Persist {
            Objects.requireNonNull(hard, "hard");
            Objects.requireNonNull(snapshot, "snapshot");
            entries = List.copyOf(entries);
        }
    }

    /** Applies a committed entry. */
    record Apply(LogEntry entry) implements ConsensusAction {
        /** Checks that the entry is not null. */
        public Apply {
            Objects.requireNonNull(entry, "entry");
        }
    }

    /** Replaces the applied state by a snapshot. */
    record Restore(Snapshot snapshot) implements ConsensusAction {
        /** Checks that the snapshot is not null. */
        public Restore {
            Objects.requireNonNull(snapshot, "snapshot");
        }
    }

    /** Asks for the applied state at an index. */
    record TakeSnapshot(long index) implements ConsensusAction {}

    /** Tells that a proposal is committed and applied at an index. */
    record ProposalCommitted(long proposalId, long index) implements ConsensusAction {}

    /**
     * Tells that a proposal was not appended and never will be.
     *
     * @param proposalId id of the proposal
     * @param reason why, in a short sentence
     * @param leader host that leads as far as this member knows
     */
    record ProposalRejected(long proposalId, String reason, Optional<HostId> leader)
            implements ConsensusAction {
        /** Checks that no part is null. */
        public ProposalRejected {
            Objects.requireNonNull(reason, "reason");
            Objects.requireNonNull(leader, "leader");
        }
    }

    /** Tells that leadership was lost while a proposal was open, which may get committed. */
    record ProposalUnknown(long proposalId) implements ConsensusAction {}

    /** Tells that this member leads and has applied all entries of earlier terms. */
    record LeadershipGained(long term) implements ConsensusAction {}

    /** Tells that this member leads no more. */
    record LeadershipLost(long term) implements ConsensusAction {}
}
