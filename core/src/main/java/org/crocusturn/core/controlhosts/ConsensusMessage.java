package org.crocusturn.core.controlhosts;

import java.util.List;
import java.util.Objects;
import org.crocusturn.core.HostId;
import org.crocusturn.core.LogPosition;
import org.crocusturn.core.PeerMessage;

/** Is a message between control hosts that keeps their logs equal. */
public sealed interface ConsensusMessage extends PeerMessage {
    /** Returns the consensus term of the sender. */
    long term();

    /**
     * Asks for a vote.
     *
     * @param term term of the candidate; for a pre-vote the term that it would start
     * @param candidate host that asks
     * @param lastEntry position of its last log entry
     * @param preVote whether it only asks if an election could be won
     * @param transfer whether the leader itself asked for this election, so that voters need not
     *     wait for its lease
     */
    record VoteRequest(
            long term, HostId candidate, LogPosition lastEntry, boolean preVote, boolean transfer)
            implements ConsensusMessage {
        /** Checks that no part is null. */
        public VoteRequest {
            Objects.requireNonNull(candidate, "candidate");
            Objects.requireNonNull(lastEntry, "lastEntry");
        }
    }

    /** Answers a vote request. */
    record VoteReply(long term, boolean granted, boolean preVote) implements ConsensusMessage {}

    /**
     * Appends entries, or is a heartbeat without any.
     *
     * @param term term of the leader
     * @param leader host that leads
     * @param previous position of the entry before the first of these
     * @param entries entries in order
     * @param commitIndex index up to which the leader knows the log to be committed
     * @param round number that the reply repeats, so that the leader knows when it sent the request
     */
    record AppendRequest(
            long term,
            HostId leader,
            LogPosition previous,
            List<LogEntry> entries,
            long commitIndex,
            long round)
            implements ConsensusMessage {
        /** Copies the entries. */
        public AppendRequest {
            Objects.requireNonNull(leader, "leader");
            Objects.requireNonNull(previous, "previous");
            entries = List.copyOf(entries);
        }
    }

    /**
     * Answers an append request.
     *
     * @param term term of the follower
     * @param success whether the entries are in the follower's log and synced
     * @param matchIndex on success the last index known to be equal; else an index from which the
     *     leader should try again
     * @param round round of the request
     * @param learner whether the follower has no usable log of its own and must not be counted
     */
    record AppendReply(long term, boolean success, long matchIndex, long round, boolean learner)
            implements ConsensusMessage {}

    /** Replaces the follower's log by a snapshot. */
    record InstallSnapshot(long term, HostId leader, Snapshot snapshot, long round)
            implements ConsensusMessage {
        /** Checks that no part is null. */
        public InstallSnapshot {
            Objects.requireNonNull(leader, "leader");
            Objects.requireNonNull(snapshot, "snapshot");
        }
    }

    /** Tells that a snapshot is synced. */
    record SnapshotReply(long term, long lastIndex, long round) implements ConsensusMessage {}

    /** Asks the receiver to start an election at once because the leader stops. */
    record TransferLeadership(long term) implements ConsensusMessage {}

    /**
     * Asks the leader for an entry whose commit ends the recovery of a member without a usable log.
     *
     * @param term term of the member
     * @param member host that recovers
     * @param nonce random number drawn at the start of the member, which the reply repeats
     */
    record RecoveryRequest(long term, HostId member, long nonce) implements ConsensusMessage {
        /** Checks that the member is not null. */
        public RecoveryRequest {
            Objects.requireNonNull(member, "member");
        }
    }

    /**
     * Names an entry that the leader appended after it received the request.
     *
     * @param term term of the leader
     * @param nonce nonce of the request
     * @param barrier position of the entry
     */
    record RecoveryReply(long term, long nonce, LogPosition barrier) implements ConsensusMessage {
        /** Checks that the barrier is not null. */
        public RecoveryReply {
            Objects.requireNonNull(barrier, "barrier");
        }
    }
}
