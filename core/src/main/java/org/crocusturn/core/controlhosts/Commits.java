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
    static Decision<ConsensusState, ConsensusAction> update(ConsensusState state, long nowNanos) {
        Decision<ConsensusState, ConsensusAction> decision =
                Consensus.chain(Decision.of(advanceCommitIndex(state)), Commits::applyCommitted);
        decision = Consensus.chain(decision, Commits::establishLeadership);
        decision = Consensus.chain(decision, s -> stepDownIfRemoved(s, nowNanos));
        return Consensus.chain(decision, s -> Decision.of(Recoveries.completeRecovery(s)));
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

    private static ConsensusState advanceCommitIndex(ConsensusState state) {
        return state.leaderRole()
                .map(leader -> LeaderQuorum.syncedIndex(state, leader))
                // An entry of an earlier term may still be replaced by another leader although a
                // majority has it, so only entries of the current term are committed by counting.
                .filter(index -> state.log().termAt(index) == state.term())
                .map(state::withCommit)
                .orElse(state);
    }

    private static Decision<ConsensusState, ConsensusAction> applyCommitted(ConsensusState state) {
        long target = Math.min(state.commitIndex(), state.log().lastIndex());
        List<ConsensusAction> actions = new ArrayList<>();
        Map<Long, Long> pending = new HashMap<>(pendingProposals(state));
        for (long index = state.appliedIndex() + 1; index <= target; index++) {
            actions.add(new ConsensusAction.Apply(state.log().entry(index)));
            Long proposal = pending.remove(index);
            if (proposal != null) {
                actions.add(new ConsensusAction.ProposalCommitted(proposal, index));
            }
        }
        boolean requestSnapshot =
                !state.snapshotRequested()
                        && target > state.appliedIndex()
                        && isSnapshotDue(state.log(), target);
        if (requestSnapshot) {
            actions.add(new ConsensusAction.TakeSnapshot(target));
        }
        ConsensusState applied =
                state.withIndexes(
                        state.commitIndex(),
                        Math.max(state.appliedIndex(), target),
                        state.snapshotRequested() || requestSnapshot);
        return new Decision<>(
                state.leaderRole()
                        .map(leader -> applied.withRole(leader.withProposals(pending)))
                        .orElse(applied),
                actions);
    }

    private static boolean isSnapshotDue(ConsensusLog log, long appliedIndex) {
        return appliedIndex - log.baseIndex() >= ConsensusTimings.SNAPSHOT_INTERVAL_ENTRIES
                || log.approximateBytes(log.baseIndex(), appliedIndex)
                        >= ConsensusTimings.SNAPSHOT_INTERVAL_BYTES;
    }

    private static Map<Long, Long> pendingProposals(ConsensusState state) {
        return state.leaderRole().map(ConsensusRole.Leader::proposals).orElse(Map.of());
    }

    private static Decision<ConsensusState, ConsensusAction> establishLeadership(
            ConsensusState state) {
        return state.leaderRole()
                .filter(l -> !l.established() && state.commitIndex() >= l.firstIndex())
                .map(
                        leader ->
                                Decision.<ConsensusState, ConsensusAction>of(
                                        state.withRole(leader.withEstablished()),
                                        new ConsensusAction.LeadershipGained(state.term())))
                .orElse(Decision.of(state));
    }

    private static Decision<ConsensusState, ConsensusAction> stepDownIfRemoved(
            ConsensusState state, long nowNanos) {
        boolean removed = !state.isVoter() && state.log().membershipIndex() <= state.commitIndex();
        return removed && state.leaderRole().isPresent()
                ? Elections.stepDown(state, nowNanos)
                : Decision.of(state);
    }
}
