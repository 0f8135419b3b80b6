package org.crocusturn.core.controlhosts;

import java.util.Comparator;
import java.util.Optional;
import org.crocusturn.core.Decision;
import org.crocusturn.core.HostId;

/** Transfers the leadership to another voter before a planned stop of the leader. */
final class LeadershipTransfers {
    private LeadershipTransfers() {}

    /** Starts a transfer to the voter with the most complete log, if there is another voter. */
    static ConsensusState begin(ConsensusState state, long nowNanos) {
        return state.leaderRole()
                .filter(leader -> leader.transfer().isEmpty())
                .flatMap(
                        leader ->
                                chooseTarget(state, leader)
                                        .map(host -> withTransfer(leader, host, nowNanos)))
                .map(state::withRole)
                .orElse(state);
    }

    /**
     * Asks the target to start an election once it has the whole log. Steps down at the deadline
     * even if no other member has taken over.
     */
    static Decision<ConsensusState, ConsensusAction> advance(ConsensusState state, long nowNanos) {
        return state.leaderRole()
                .flatMap(leader -> leader.transfer().map(t -> advance(state, leader, t, nowNanos)))
                .orElse(Decision.of(state));
    }

    private static Decision<ConsensusState, ConsensusAction> advance(
            ConsensusState state,
            ConsensusRole.Leader leader,
            ConsensusRole.Transfer transfer,
            long nowNanos) {
        if (nowNanos - transfer.deadlineNanos() >= 0) {
            return Elections.stepDown(state, nowNanos);
        }
        Progress progress = leader.progress().get(transfer.target());
        boolean ready =
                !transfer.sent()
                        && progress != null
                        && progress.matchIndex() == state.log().lastIndex();
        ConsensusRole.Transfer sent =
                new ConsensusRole.Transfer(transfer.target(), transfer.deadlineNanos(), true);
        return ready
                ? Decision.of(
                        state.withRole(leader.withTransfer(sent)),
                        new ConsensusAction.Send(
                                transfer.target(),
                                new ConsensusMessage.TransferLeadership(state.term())))
                : Decision.of(state);
    }

    private static Optional<HostId> chooseTarget(
            ConsensusState state, ConsensusRole.Leader leader) {
        return state.membership().voters().stream()
                .map(Member::host)
                .filter(host -> !host.equals(state.self()))
                .filter(host -> leader.progress().get(host).counted())
                .max(
                        Comparator.<HostId>comparingLong(h -> leader.progress().get(h).matchIndex())
                                .thenComparingLong(h -> leader.progress().get(h).ackedNanos())
                                .thenComparing(Comparator.naturalOrder()));
    }

    private static ConsensusRole withTransfer(
            ConsensusRole.Leader leader, HostId target, long nowNanos) {
        return leader.withTransfer(
                new ConsensusRole.Transfer(
                        target, nowNanos + ConsensusTimings.MAX_ELECTION_TIMEOUT_NANOS, false));
    }
}
