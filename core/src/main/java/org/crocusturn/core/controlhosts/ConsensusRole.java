package org.crocusturn.core.controlhosts;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.crocusturn.core.HostId;
import org.crocusturn.core.LogPosition;

/** Is what a member does in its current term. */
public sealed interface ConsensusRole {
    /** Follows a leader or waits for one. */
    record Follower() implements ConsensusRole {}

    /** Asks whether it could win an election. */
    record PreCandidate(Set<HostId> votes) implements ConsensusRole {
        /** Copies the votes. */
        public PreCandidate {
            votes = Set.copyOf(votes);
        }
    }

    /** Stands for election. */
    record Candidate(Set<HostId> votes) implements ConsensusRole {
        /** Copies the votes. */
        public Candidate {
            votes = Set.copyOf(votes);
        }
    }

    /**
     * Leads.
     *
     * @param electedNanos time of the election, in nanoseconds
     * @param firstIndex index of the empty entry of its term
     * @param established whether that entry is committed
     * @param heartbeatNanos time of the next heartbeat, in nanoseconds
     * @param progress what is known of each other member
     * @param proposals ids of uncommitted proposals by index
     * @param barriers answers to members that recover
     * @param transfer planned end of the leadership, if one is under way
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
            return withProgress(plus(progress, host, one));
        }

        Leader withProposal(long index, long id) {
            return withProposals(plus(proposals, index, id));
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
                    plus(barriers, host, barrier),
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

        private static <K, V> Map<K, V> plus(Map<K, V> map, K key, V value) {
            return Stream.concat(map.entrySet().stream(), Stream.of(Map.entry(key, value)))
                    .collect(
                            Collectors.toMap(
                                    Map.Entry::getKey, Map.Entry::getValue, (old, now) -> now));
        }
    }

    /** Is the entry that a recovering member has to see committed. */
    record Barrier(long nonce, LogPosition position) {}

    /**
     * Is a planned end of a leadership.
     *
     * @param target member that takes over
     * @param deadlineNanos time at which the leader steps down in any case, in nanoseconds
     * @param sent whether the target was asked; the lease is void from then on
     */
    record Transfer(HostId target, long deadlineNanos, boolean sent) {}
}
