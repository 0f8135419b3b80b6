package org.crocusturn.core.controlhosts;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.crocusturn.core.HostId;
import org.crocusturn.core.LogPosition;

/** The role of a member in its current term. */
public sealed interface ConsensusRole {
    /** A member that follows a leader or waits for one. */
    record Follower() implements ConsensusRole {}

    /** A member that asks whether it could win an election, without starting a new term. */
    record PreCandidate(Set<HostId> votes) implements ConsensusRole {
        /** Copies the votes. */
        public PreCandidate {
            votes = Set.copyOf(votes);
        }
    }

    /** A member that requests votes for its own term. */
    record Candidate(Set<HostId> votes) implements ConsensusRole {
        /** Copies the votes. */
        public Candidate {
            votes = Set.copyOf(votes);
        }
    }

    /**
     * The leader of the term.
     *
     * @param electedNanos time of the election, in nanoseconds
     * @param firstIndex index of the empty entry that the leader appended at its election
     * @param established whether that entry is committed
     * @param heartbeatNanos time of the next heartbeat, in nanoseconds
     * @param progress replication progress of each other member
     * @param proposals ids of uncommitted proposals by log index
     * @param barriers barriers appended for recovering members
     * @param transfer leadership transfer in progress, if any; the lease is not valid meanwhile
     */
    record Leader(
            long electedNanos,
            long firstIndex,
            boolean established,
            long heartbeatNanos,
            Map<HostId, Progress> progress,
            Map<Long, Long> proposals,
            Map<HostId, Barrier> barriers,
            Optional<Transfer> transfer)
            implements ConsensusRole {
        /** Copies the maps. */
        public Leader {
            progress = Map.copyOf(progress);
            proposals = Map.copyOf(proposals);
            barriers = Map.copyOf(barriers);
        }

        Leader withEstablished() {
            return new Leader(
                    electedNanos,
                    firstIndex,
                    true,
                    heartbeatNanos,
                    progress,
                    proposals,
                    barriers,
                    transfer);
        }

        Leader withHeartbeat(long nanos) {
            return new Leader(
                    electedNanos,
                    firstIndex,
                    established,
                    nanos,
                    progress,
                    proposals,
                    barriers,
                    transfer);
        }

        Leader withProgress(Map<HostId, Progress> all) {
            return new Leader(
                    electedNanos,
                    firstIndex,
                    established,
                    heartbeatNanos,
                    all,
                    proposals,
                    barriers,
                    transfer);
        }

        Leader withProgress(HostId host, Progress one) {
            return withProgress(withEntry(progress, host, one));
        }

        Leader withProposal(long index, long id) {
            return withProposals(withEntry(proposals, index, id));
        }

        Leader withProposals(Map<Long, Long> pending) {
            return new Leader(
                    electedNanos,
                    firstIndex,
                    established,
                    heartbeatNanos,
                    progress,
                    pending,
                    barriers,
                    transfer);
        }

        Leader withBarrier(HostId host, Barrier barrier) {
            return new Leader(
                    electedNanos,
                    firstIndex,
                    established,
                    heartbeatNanos,
                    progress,
                    proposals,
                    withEntry(barriers, host, barrier),
                    transfer);
        }

        Leader withTransfer(Transfer planned) {
            return new Leader(
                    electedNanos,
                    firstIndex,
                    established,
                    heartbeatNanos,
                    progress,
                    proposals,
                    barriers,
                    Optional.of(planned));
        }

        private static <K, V> Map<K, V> withEntry(Map<K, V> map, K key, V value) {
            return Stream.concat(map.entrySet().stream(), Stream.of(Map.entry(key, value)))
                    .collect(
                            Collectors.toMap(
                                    Map.Entry::getKey,
                                    Map.Entry::getValue,
                                    (oldValue, newValue) -> newValue));
        }
    }

    /** An entry that has to be committed before a recovering member may vote and count. */
    record Barrier(long nonce, LogPosition position) {}

    /**
     * A leadership transfer in progress.
     *
     * @param target member that should become the leader
     * @param deadlineNanos time at which the leader steps down even if the target has not taken
     *     over, in nanoseconds
     * @param sent whether the target was asked to start an election
     */
    record Transfer(HostId target, long deadlineNanos, boolean sent) {}
}
