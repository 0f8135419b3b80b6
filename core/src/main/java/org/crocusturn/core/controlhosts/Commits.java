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
        long target = lastIndexToApply(state);
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
                        && isSnapshotDue(state, target);
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

    /** Returns the last index that is applied in one step, which has a limited size in memory. */
    private static long lastIndexToApply(ConsensusState state) {
        if (!state.hasEntriesToApply()) {
            return state.appliedIndex();
        }
        long committed = Math.min(state.commitIndex(), state.log().lastIndex());
        List<LogEntry> next =
                state.log()
                        .entriesFrom(
                                state.appliedIndex() + 1,
                                Math.toIntExact(committed - state.appliedIndex()),
                                ConsensusTimings.MAX_APPLY_BYTES);
        return state.appliedIndex() + next.size();
    }

    /**
     * Returns whether a snapshot is due. While committed entries still wait to be applied, only
     * those in memory count: each snapshot writes the rest of the log again.
     */
    private static boolean isSnapshotDue(ConsensusState state, long appliedIndex) {
        ConsensusLog log = state.log();
        boolean behind = appliedIndex < Math.min(state.commitIndex(), log.lastIndex());
        long bytes =
                behind
                        ? log.retainedBytes(log.baseIndex(), appliedIndex)
                        : log.approximateBytes(log.baseIndex(), appliedIndex);
        return appliedIndex - log.baseIndex() >= ConsensusTimings.SNAPSHOT_INTERVAL_ENTRIES
                || bytes >= ConsensusTimings.SNAPSHOT_INTERVAL_BYTES;
    }

    private static Map<Long, Long> pendingProposals(ConsensusState state) {
        return state.leaderRole().map(ConsensusRole.Leader::proposals).orElse(Map.of());
    }

    private static Decision<ConsensusState, ConsensusAction> establishLeadership(
            ConsensusState state) {
        return state.leaderRole()
                .filter(l -> !l.established() && state.appliedIndex() >= l.firstIndex())
                .map(
                        leader ->
                                Decision.<ConsensusState, ConsensusAction>of(
                                        state.withRole(leader.withEstablished()),
                                        new ConsensusAction.LeadershipGained(state.term())))
                .orElse(Decision.of(state));
    }

    private static Decision<ConsensusState, ConsensusAction> stepDownIfRemoved(
            ConsensusState state, long nowNanos) {
        boolean removed = !state.isVoter() && !Consensus.isMembershipChanging(state);
        return removed && state.leaderRole().isPresent()
                ? Elections.stepDown(state, nowNanos)
                : Decision.of(state);
    }
}
