package org.crocusturn.core.entryhosts;

import java.util.Objects;
import org.crocusturn.core.operators.ControlState;

/**
 * State of the control leader. Immutable; its maps are persistent.
 *
 * @param term consensus term of the leadership; 0 before the first
 * @param leadingSinceNanos start of the leadership
 * @param lastStepNanos time of the latest step
 * @param control replicated state
 * @param history latest commands
 * @param registry known entry hosts
 * @param leases group leases
 * @param tokens allocation of rate tokens
 * @param failovers failover progress of groups and health of endpoints
 * @param pushDue whether a state change has not been pushed to the live hosts
 * @param lastPushNanos time of the last push to all hosts
 * @param groupCursor index of the next group to check at a tick
 * @param placementCursor index of the next group to check for rebalancing
 * @param nextMoveNanos time from which rebalancing may move another lease
 * @param sentChanges state changes that are on their way to entry hosts
 */
public record LeaderState(
        long term,
        long leadingSinceNanos,
        long lastStepNanos,
        ControlState control,
        CommandHistory history,
        EntryRegistry registry,
        LeaseTable leases,
        TokenAllocator tokens,
        FailoverTable failovers,
        boolean pushDue,
        long lastPushNanos,
        int groupCursor,
        int placementCursor,
        long nextMoveNanos,
        SentChanges sentChanges) {
    /** Checks that no part is null. */
    public LeaderState {
        Objects.requireNonNull(control, "control");
        Objects.requireNonNull(history, "history");
        Objects.requireNonNull(registry, "registry");
        Objects.requireNonNull(leases, "leases");
        Objects.requireNonNull(tokens, "tokens");
        Objects.requireNonNull(failovers, "failovers");
        Objects.requireNonNull(sentChanges, "sentChanges");
    }

    /** Creates the state of a host that has not led yet. */
    public static LeaderState idle() {
        return ofNewLeader(0, ControlState.EMPTY, CommandHistory.of(ControlState.EMPTY), 0);
    }

    /** Creates the state of a new leader. */
    public static LeaderState ofNewLeader(
            long term, ControlState control, CommandHistory history, long nowNanos) {
        return new LeaderState(
                term,
                nowNanos,
                nowNanos,
                control,
                history,
                EntryRegistry.of(nowNanos),
                LeaseTable.inherited(control, nowNanos),
                TokenAllocator.of(
                        control.configuration(),
                        control.groups().values().stream().flatMap(g -> g.leaseholder().stream()),
                        nowNanos),
                FailoverTable.of(control, nowNanos),
                false,
                nowNanos,
                0,
                0,
                nowNanos,
                SentChanges.NONE);
    }

    /** Returns whether the host has ever led. */
    public boolean hasLed() {
        return term > 0;
    }

    LeaderState withStepped(long nowNanos) {
        boolean stalled = nowNanos - lastStepNanos >= LeaseTimes.LEADER_PAUSE_NANOS;
        return copy(
                nowNanos,
                stalled ? registry.withMonitoredSince(nowNanos) : registry,
                leases,
                tokens,
                failovers);
    }

    LeaderState withControl(ControlState next, CommandHistory nextHistory, boolean pushes) {
        return new LeaderState(
                term,
                leadingSinceNanos,
                lastStepNanos,
                next,
                nextHistory,
                registry,
                leases,
                tokens,
                failovers,
                pushDue || pushes,
                lastPushNanos,
                groupCursor,
                placementCursor,
                nextMoveNanos,
                sentChanges);
    }

    LeaderState withRegistry(EntryRegistry next) {
        return copy(lastStepNanos, next, leases, tokens, failovers);
    }

    LeaderState withLeases(LeaseTable next) {
        return copy(lastStepNanos, registry, next, tokens, failovers);
    }

    LeaderState withLease(LeaseState next) {
        return withLeases(leases.with(next));
    }

    LeaderState withTokens(TokenAllocator next) {
        return copy(lastStepNanos, registry, leases, next, failovers);
    }

    LeaderState withFailovers(FailoverTable next) {
        return copy(lastStepNanos, registry, leases, tokens, next);
    }

    LeaderState withSentChanges(SentChanges next) {
        return new LeaderState(
                term,
                leadingSinceNanos,
                lastStepNanos,
                control,
                history,
                registry,
                leases,
                tokens,
                failovers,
                pushDue,
                lastPushNanos,
                groupCursor,
                placementCursor,
                nextMoveNanos,
                next);
    }

    LeaderState withPushed(long nowNanos) {
        return new LeaderState(
                term,
                leadingSinceNanos,
                lastStepNanos,
                control,
                history,
                registry,
                leases,
                tokens,
                failovers,
                false,
                nowNanos,
                groupCursor,
                placementCursor,
                nextMoveNanos,
                sentChanges);
    }

    LeaderState withCursors(int next, int nextPlacement) {
        return new LeaderState(
                term,
                leadingSinceNanos,
                lastStepNanos,
                control,
                history,
                registry,
                leases,
                tokens,
                failovers,
                pushDue,
                lastPushNanos,
                next,
                nextPlacement,
                nextMoveNanos,
                sentChanges);
    }

    LeaderState withNextMove(long nanos) {
        return new LeaderState(
                term,
                leadingSinceNanos,
                lastStepNanos,
                control,
                history,
                registry,
                leases,
                tokens,
                failovers,
                pushDue,
                lastPushNanos,
                groupCursor,
                placementCursor,
                nanos,
                sentChanges);
    }

    private LeaderState copy(
            long nextStepped,
            EntryRegistry nextRegistry,
            LeaseTable nextLeases,
            TokenAllocator nextRates,
            FailoverTable nextFailovers) {
        return new LeaderState(
                term,
                leadingSinceNanos,
                nextStepped,
                control,
                history,
                nextRegistry,
                nextLeases,
                nextRates,
                nextFailovers,
                pushDue,
                lastPushNanos,
                groupCursor,
                placementCursor,
                nextMoveNanos,
                sentChanges);
    }
}
