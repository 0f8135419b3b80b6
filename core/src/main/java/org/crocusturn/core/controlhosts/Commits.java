package org.crocusturn.core.controlhosts;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.crocusturn.core.Decision;

/** Advances the commit index and applies committed entries. */
final class Commits {
    private Commits() {}

    /**
     * Advances the commit index, applies the committed entries, and completes leadership changes,
     * removals and recoveries that waited for them.
     */
    static Decision<ConsensusState, ConsensusAction> settle(ConsensusState state, long nowNanos) {
        Decision<ConsensusState, ConsensusAction> decision =
                Consensus.chain(Decision.of(advance(state)), Commits::apply);
        decision = Consensus.chain(decision, Commits::establish);
        decision = Consensus.chain(decision, s -> retireRemoved(s, nowNanos));
        return Consensus.chain(decision, s -> Decision.of(Recoveries.complete(s)));
    }

    /** Replaces the entries that a snapshot of the applied state covers. */
    static ConsensusState withSnapshot(ConsensusState state, ConsensusInput.SnapshotTaken taken) {
        long index = taken.index();
        ConsensusState answered =
                state.withIndexes(state.commitIndex(), state.appliedIndex(), false);
        if (index <= state.log().baseIndex() || index > state.appliedIndex()) {
            return answered;
        }
        LogEntry entry = state.log().entry(index);
        Snapshot snapshot =
                new Snapshot(entry.position(), state.log().membershipAt(index), taken.state());
        return answered.withLog(state.log().withSnapshot(snapshot));
    }

    private static ConsensusState advance(ConsensusState state) {
        return state.leading()
                .map(leader -> Leases.syncedIndex(state, leader))
                // An entry of an earlier term may still be replaced by another leader although a
                // majority has it, so only entries of the current term are committed by counting.
                .filter(index -> state.log().termAt(index) == state.term())
                .map(state::withCommit)
                .orElse(state);
    }

    private static Decision<ConsensusState, ConsensusAction> apply(ConsensusState state) {
        long target = Math.min(state.commitIndex(), state.log().lastIndex());
        List<ConsensusAction> actions = new ArrayList<>();
        Map<Long, Long> open = new HashMap<>(proposals(state));
        for (long index = state.appliedIndex() + 1; index <= target; index++) {
            actions.add(new ConsensusAction.Apply(state.log().entry(index)));
            Long proposal = open.remove(index);
            if (proposal != null) {
                actions.add(new ConsensusAction.ProposalCommitted(proposal, index));
            }
        }
        boolean ask =
                !state.snapshotAsked()
                        && target - state.log().baseIndex() >= ConsensusTimings.SNAPSHOT_ENTRIES;
        if (ask) {
            actions.add(new ConsensusAction.TakeSnapshot(target));
        }
        ConsensusState applied =
                state.withIndexes(
                        state.commitIndex(),
                        Math.max(state.appliedIndex(), target),
                        state.snapshotAsked() || ask);
        return new Decision<>(
                state.leading()
                        .map(leader -> applied.withRole(leader.withProposals(open)))
                        .orElse(applied),
                actions);
    }

    private static Map<Long, Long> proposals(ConsensusState state) {
        return state.leading().map(ConsensusRole.Leader::proposals).orElse(Map.of());
    }

    private static Decision<ConsensusState, ConsensusAction> establish(ConsensusState state) {
        return state.leading()
                .filter(l -> !l.established() && state.commitIndex() >= l.firstIndex())
                .map(
                        leader ->
                                Decision.<ConsensusState, ConsensusAction>of(
                                        state.withRole(leader.withEstablished()),
                                        new ConsensusAction.LeadershipGained(state.term())))
                .orElse(Decision.of(state));
    }

    private static Decision<ConsensusState, ConsensusAction> retireRemoved(
            ConsensusState state, long nowNanos) {
        boolean removed = !state.voter() && state.log().membershipIndex() <= state.commitIndex();
        return removed && state.leading().isPresent()
                ? Elections.retire(state, nowNanos)
                : Decision.of(state);
    }
}
