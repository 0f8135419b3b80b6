package org.crocusturn.core.controlhosts;

import java.util.Comparator;
import java.util.List;
import java.util.function.ToLongFunction;
import org.crocusturn.core.HostId;

/** Computes the leader lease and the commit index from the progress of a majority of voters. */
final class LeaderQuorum {
    private LeaderQuorum() {}

    static boolean isLeaseValid(ConsensusState state, long nowNanos) {
        return state.leaderRole()
                .filter(leader -> leader.established() && leader.transfer().isEmpty())
                .map(
                        leader ->
                                nowNanos - lastContactNanos(state, leader, nowNanos)
                                        < ConsensusTimings.LEASE_DURATION_NANOS)
                .orElse(false);
    }

    /** Returns the latest time such that a majority acknowledged a request sent at or after it. */
    static long lastContactNanos(ConsensusState state, ConsensusRole.Leader leader, long nowNanos) {
        return majorityNanos(state, leader, nowNanos, Progress::ackedNanos);
    }

    /**
     * Returns the latest time such that acknowledgements of a majority arrived at or after it,
     * whenever their requests were sent.
     */
    static long lastHeardNanos(ConsensusState state, ConsensusRole.Leader leader, long nowNanos) {
        return majorityNanos(state, leader, nowNanos, Progress::heardNanos);
    }

    private static long majorityNanos(
            ConsensusState state,
            ConsensusRole.Leader leader,
            long nowNanos,
            ToLongFunction<Progress> time) {
        long never = leader.electedNanos() - ConsensusTimings.LEASE_DURATION_NANOS;
        return majorityValue(
                state,
                host ->
                        host.equals(state.self())
                                ? nowNanos
                                : isCounted(leader, host)
                                        ? time.applyAsLong(leader.progress().get(host))
                                        : never);
    }

    /** Returns the last index that a majority of the voters has synced. */
    static long syncedIndex(ConsensusState state, ConsensusRole.Leader leader) {
        return majorityValue(
                state,
                host ->
                        host.equals(state.self())
                                ? state.persistQueue().durableIndex()
                                : isCounted(leader, host)
                                        ? leader.progress().get(host).matchIndex()
                                        : 0);
    }

    private static long majorityValue(ConsensusState state, ToLongFunction<HostId> value) {
        List<Long> values =
                state.membership().voters().stream()
                        .map(member -> value.applyAsLong(member.host()))
                        .sorted(Comparator.reverseOrder())
                        .toList();
        return values.get(state.membership().majoritySize() - 1);
    }

    private static boolean isCounted(ConsensusRole.Leader leader, HostId host) {
        Progress progress = leader.progress().get(host);
        return progress != null && progress.counted();
    }
}
