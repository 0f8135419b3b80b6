package org.crocusturn.core.controlhosts;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.crocusturn.core.HostId;

/** An action that the caller of the consensus has to execute; actions are executed in order. */
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
     * Writes and syncs the snapshot, the log and the hard state, in this order. Persists are
     * executed in sequence.
     *
     * @param sequence number that confirms this persist
     * @param hardState hard state to store
     * @param snapshot new snapshot; the log then consists of the entries of this persist only
     * @param fromIndex first index that the entries replace
     * @param entries new end of the log, from that index on
     */
    record Persist(
            long sequence,
            HardState hardState,
            Optional<Snapshot> snapshot,
            long fromIndex,
            List<LogEntry> entries)
            implements ConsensusAction {
        /** Copies the entries. */
        public Persist {
            Objects.requireNonNull(hardState, "hardState");
            Objects.requireNonNull(snapshot, "snapshot");
            entries = List.copyOf(entries);
        }

        /** Returns the approximate size in memory of what this persist writes, in bytes. */
        public long approximateBytes() {
            return entries.stream().mapToLong(e -> e.content().approximateBytes()).sum()
                    + snapshot.map(s -> s.state().configuration().approximateBytes()).orElse(0L);
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

    /** Requests a snapshot of the applied state at an index. */
    record TakeSnapshot(long index) implements ConsensusAction {}

    /** Reports that a proposal is committed and applied at an index. */
    record ProposalCommitted(long proposalId, long index) implements ConsensusAction {}

    /**
     * Reports that a proposal was not appended and never will be.
     *
     * @param proposalId id of the proposal
     * @param reason cause of the rejection, for error messages
     * @param leader current leader, if known
     */
    record ProposalRejected(long proposalId, String reason, Optional<HostId> leader)
            implements ConsensusAction {
        /** Checks that no part is null. */
        public ProposalRejected {
            Objects.requireNonNull(reason, "reason");
            Objects.requireNonNull(leader, "leader");
        }
    }

    /** Reports that leadership was lost before a proposal was committed; it may still be. */
    record ProposalOutcomeUnknown(long proposalId) implements ConsensusAction {}

    /** Reports that this member leads and has applied all entries of earlier terms. */
    record LeadershipGained(long term) implements ConsensusAction {}

    /** Reports that this member is no longer the leader. */
    record LeadershipLost(long term) implements ConsensusAction {}
}
