package org.crocusturn.core.controlhosts;

import java.util.Comparator;
import java.util.Optional;
import org.crocusturn.core.Decision;
import org.crocusturn.core.HostId;

/** Decides how a leader that stops on plan hands its leadership over. */
final class Transfers {
    private Transfers() {}

    /** Chooses the voter that has most of the log; without another voter nothing changes. */
    static ConsensusState begin(ConsensusState state, long nowNanos) {
        return state.leading()
                .filter(leader -> leader.transfer().isEmpty())
                .flatMap(leader -> target(state, leader).map(host -> begun(leader, host, nowNanos)))
                .map(state::withRole)
                .orElse(state);
    }

    /** Asks the target once it has the whole log; steps down if nobody took over in time. */
    static Decision<ConsensusState, ConsensusAction> advance(ConsensusState state, long nowNanos) {
        return state.leading()
                .flatMap(leader -> leader.transfer().map(t -> advance(state, leader, t, nowNanos)))
                .orElse(Decision.of(state));
    }

    private static Decision<ConsensusState, ConsensusAction> advance(
            ConsensusState state,
            ConsensusRole.Leader leader,
            ConsensusRole.Transfer transfer,
            long nowNanos) {
        if (nowNanos - transfer.deadlineNanos() >= 0) {
            return Elections.retire(state, nowNanos);
        }
        Progress progress = leader.progress().get(transfer.target());
        boolean ready =
                !transfer.sent() && progress != null && progress.match() == state.log().lastIndex();
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

    private static Optional<HostId> target(ConsensusState state, ConsensusRole.Leader leader) {
        return state.membership().voters().stream()
                .map(Member::host)
                .filter(host -> !host.equals(state.self()))
                .filter(host -> leader.progress().get(host).counted())
                .max(
                        Comparator.<HostId>comparingLong(h -> leader.progress().get(h).match())
                                .thenComparingLong(h -> leader.progress().get(h).ackedNanos())
                                .thenComparing(Comparator.naturalOrder()));
    }

    private static ConsensusRole begun(ConsensusRole.Leader leader, HostId target, long nowNanos) {
        return leader.withTransfer(
                new ConsensusRole.Transfer(
                        target, nowNanos + ConsensusTimings.ELECTION_MAX_NANOS, false));
    }
}
