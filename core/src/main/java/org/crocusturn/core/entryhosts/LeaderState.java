package org.crocusturn.core.entryhosts;

import java.util.Objects;
import org.crocusturn.core.operators.ControlState;

/**
 * State of the control leader. Immutable; its maps are persistent.
 *
 * @param term consensus term of the leadership; 0 before the first
 * @param gainedNanos start of the leadership
 * @param steppedNanos time of the latest step
 * @param control replicated state
 * @param history latest commands
 * @param registry known entry hosts
 * @param leases group leases
 * @param rates allocation of rate tokens
 * @param failovers failover progress of groups and health of endpoints
 * @param pushDue whether a state change has not been pushed to the live hosts
 * @param pushedNanos time of the last push to all hosts
 * @param cursor index of the next group to check at a tick
 * @param placementCursor index of the next group to check for rebalancing
 */
public record LeaderState(
        long term,
        long gainedNanos,
        long steppedNanos,
        ControlState control,
        CommandHistory history,
        EntryRegistry registry,
        LeaseTable leases,
        RateAuthority rates,
        FailoverTable failovers,
        boolean pushDue,
        long pushedNanos,
        int cursor,
        int placementCursor) {
    /** Checks that no part is null. */
    public LeaderState {
        Objects.requireNonNull(control, "control");
        Objects.requireNonNull(history, "history");
        Objects.requireNonNull(registry, "registry");
        Objects.requireNonNull(leases, "leases");
        Objects.requireNonNull(rates, "rates");
        Objects.requireNonNull(failovers, "failovers");
    }

    /** Creates the state of a host that has not led yet. */
    public static LeaderState idle() {
        return gained(0, ControlState.EMPTY, 0);
    }

    /** Creates the state of a new leader. */
    public static LeaderState gained(long term, ControlState control, long nowNanos) {
        return new LeaderState(
                term,
                nowNanos,
                nowNanos,
                control,
                CommandHistory.of(control.version()),
                EntryRegistry.of(nowNanos),
                LeaseTable.inherited(control, nowNanos),
                RateAuthority.of(
                        control.configuration(),
                        control.groups().values().stream().flatMap(g -> g.leaseholder().stream()),
                        nowNanos),
                FailoverTable.of(control, nowNanos),
                false,
                nowNanos,
                0,
                0);
    }

    /** Returns whether the host has ever led. */
    public boolean leads() {
        return term > 0;
    }

    LeaderState withStepped(long nowNanos) {
        boolean stalled = nowNanos - steppedNanos >= LeaseTimes.STALL_NANOS;
        return copy(
                nowNanos,
                stalled ? registry.withWatchedSince(nowNanos) : registry,
                leases,
                rates,
                failovers);
    }

    LeaderState withControl(ControlState next, CommandHistory nextHistory) {
        return new LeaderState(
                term,
                gainedNanos,
                steppedNanos,
                next,
                nextHistory,
                registry,
                leases,
                rates,
                failovers,
                true,
                pushedNanos,
                cursor,
                placementCursor);
    }

    LeaderState withRegistry(EntryRegistry next) {
        return copy(steppedNanos, next, leases, rates, failovers);
    }

    LeaderState withLeases(LeaseTable next) {
        return copy(steppedNanos, registry, next, rates, failovers);
    }

    LeaderState withLease(GroupLease next) {
        return withLeases(leases.with(next));
    }

    LeaderState withRates(RateAuthority next) {
        return copy(steppedNanos, registry, leases, next, failovers);
    }

    LeaderState withFailovers(FailoverTable next) {
        return copy(steppedNanos, registry, leases, rates, next);
    }

    LeaderState withPushed(long nowNanos) {
        return new LeaderState(
                term,
                gainedNanos,
                steppedNanos,
                control,
                history,
                registry,
                leases,
                rates,
                failovers,
                false,
                nowNanos,
                cursor,
                placementCursor);
    }

    LeaderState withCursors(int next, int nextPlacement) {
        return new LeaderState(
                term,
                gainedNanos,
                steppedNanos,
                control,
                history,
                registry,
                leases,
                rates,
                failovers,
                pushDue,
                pushedNanos,
                next,
                nextPlacement);
    }

    private LeaderState copy(
            long nextStepped,
            EntryRegistry nextRegistry,
            LeaseTable nextLeases,
            RateAuthority nextRates,
            FailoverTable nextFailovers) {
        return new LeaderState(
                term,
                gainedNanos,
                nextStepped,
                control,
                history,
                nextRegistry,
                nextLeases,
                nextRates,
                nextFailovers,
                pushDue,
                pushedNanos,
                cursor,
                placementCursor);
    }
}
