package org.crocusturn.core.controlhosts;

import java.util.List;
import java.util.Objects;
import org.crocusturn.core.HostId;
import org.crocusturn.core.LogPosition;
import org.crocusturn.core.PeerMessage;

/** A message of the consensus protocol between control hosts. */
public sealed interface ConsensusMessage extends PeerMessage {
    /** Returns the consensus term of the sender. */
    long term();

    /**
     * Requests a vote.
     *
     * @param term term of the candidate; for a pre-vote the term that it would start
     * @param candidate host that requests the vote
     * @param lastEntry position of the last log entry of the candidate
     * @param preVote whether the candidate only asks if it could win an election
     * @param transfer whether the leader requested this election, so that voters need not wait for
     *     its lease to expire
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
     * Appends entries to the log of a follower; without entries it is a heartbeat.
     *
     * @param term term of the leader
     * @param leader host that sends the request
     * @param previous position of the entry that precedes the entries
     * @param entries entries in the order of their indexes
     * @param commitIndex last index that the leader knows to be committed
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
     * @param matchIndex on success the last index at which the logs match and are synced; otherwise
     *     the index after which the leader should retry
     * @param round round of the request
     * @param recovering whether the follower recovers from a lost log and must not count for a
     *     majority
     */
    record AppendReply(long term, boolean success, long matchIndex, long round, boolean recovering)
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

    /** Confirms that a snapshot is synced. */
    record SnapshotReply(long term, long lastIndex, long round) implements ConsensusMessage {}

    /** Asks the receiver to start an election at once because the leader steps down. */
    record TransferLeadership(long term) implements ConsensusMessage {}

    /**
     * Asks the leader for a barrier, whose commit ends the recovery of a member that lost its log.
     *
     * @param term term of the member
     * @param member the recovering host
     * @param nonce random number drawn at the start of the member, which the reply repeats
     */
    record RecoveryRequest(long term, HostId member, long nonce) implements ConsensusMessage {
        /** Checks that the member is not null. */
        public RecoveryRequest {
            Objects.requireNonNull(member, "member");
        }
    }

    /**
     * Names the barrier entry, which the leader appended after it received the request.
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
