package org.crocusturn.core.controlhosts;

import java.util.Comparator;
import java.util.List;
import java.util.function.ToLongFunction;
import org.crocusturn.core.HostId;

/** Computes the leader lease and the commit index from the progress of a majority of voters. */
final class Leases {
    private Leases() {}

    static boolean valid(ConsensusState state, long nowNanos) {
        return state.leading()
                .filter(leader -> leader.established() && leader.transfer().isEmpty())
                .map(
                        leader ->
                                nowNanos - contactNanos(state, leader, nowNanos)
                                        < ConsensusTimings.LEASE_NANOS)
                .orElse(false);
    }

    /** Returns the latest time such that a majority acknowledged a request sent at or after it. */
    static long contactNanos(ConsensusState state, ConsensusRole.Leader leader, long nowNanos) {
        long never = leader.electedNanos() - ConsensusTimings.LEASE_NANOS;
        return majorityOf(
                state,
                host ->
                        host.equals(state.self())
                                ? nowNanos
                                : counted(leader, host) ? ackedNanos(leader, host) : never);
    }

    /** Returns the last index that a majority of the voters has synced. */
    static long syncedIndex(ConsensusState state, ConsensusRole.Leader leader) {
        return majorityOf(
                state,
                host ->
                        host.equals(state.self())
                                ? state.persists().durableIndex()
                                : counted(leader, host) ? leader.progress().get(host).match() : 0);
    }

    private static long majorityOf(ConsensusState state, ToLongFunction<HostId> value) {
        List<Long> values =
                state.membership().voters().stream()
                        .map(member -> value.applyAsLong(member.host()))
                        .sorted(Comparator.reverseOrder())
                        .toList();
        return values.get(state.membership().majority() - 1);
    }

    private static boolean counted(ConsensusRole.Leader leader, HostId host) {
        Progress progress = leader.progress().get(host);
        return progress != null && progress.counted();
    }

    private static long ackedNanos(ConsensusRole.Leader leader, HostId host) {
        return leader.progress().get(host).ackedNanos();
    }
}
