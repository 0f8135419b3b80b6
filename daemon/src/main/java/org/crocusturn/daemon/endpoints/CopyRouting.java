package org.crocusturn.daemon.endpoints;

import java.time.Duration;
import java.util.Optional;
import org.crocusturn.core.LogPosition;
import org.crocusturn.core.endpoints.PositionHistory;
import org.crocusturn.core.endpoints.ReadPlacement;
import org.crocusturn.core.entryhosts.SessionCall;

/** Selects the copy that runs a call; used only by the thread of its group. */
final class CopyRouting {
    private final LeasedGroup mGroup;
    private final ConnectionPlanner mPlanner;
    private final ServiceTimes mTimes;
    private final GroupContext mContext;

    CopyRouting(
            LeasedGroup group,
            ConnectionPlanner planner,
            ServiceTimes times,
            GroupContext context) {
        mTimes = times;
        mPlanner = planner;
        mGroup = group;
        mContext = context;
    }

    /** Returns whether a call that needs the primary can start now. */
    boolean isPrimaryFree() {
        return freePrimary().isPresent();
    }

    /** Returns whether a copy has a slot for a read, which may still lack what the read needs. */
    boolean isAnyCopyFree() {
        return mGroup.history().isPresent()
                && mGroup.pools().stream().anyMatch(CopyPool::hasFreeSlot);
    }

    private Optional<CopyPool> freePrimary() {
        // One statement more than slots hides the round-trip time to the primary.
        return mGroup.failover()
                .writablePrimary()
                .filter(pool -> pool.runningCount() < pool.slots() + 1)
                .filter(CopyPool::hasAvailableConnection);
    }

    /** Returns the copy on which a call can start now, if any. */
    Optional<CopyPool> selectCopy(StatementRun run) {
        SessionCall call = run.call();
        if (call.needsPrimary()) {
            return freePrimary();
        }
        if (!isAnyCopyFree()) {
            return Optional.empty();
        }
        long now = mContext.nowNanos();
        LogPosition requiredPosition = requiredPosition(call);
        return ReadPlacement.choose(
                        mGroup.pools().stream()
                                .filter(this::isServing)
                                .filter(pool -> !run.excludes(pool.record().id()))
                                .filter(CopyPool::hasAvailableConnection)
                                .map(pool -> toCandidate(pool, call, requiredPosition, now))
                                .toList(),
                        mTimes.isWaitLong(call, slotsOfCopy()))
                .flatMap(mGroup::pool);
    }

    private ReadPlacement.Candidate toCandidate(
            CopyPool pool, SessionCall call, LogPosition requiredPosition, long now) {
        PositionHistory history = mGroup.history().orElseThrow();
        boolean primary = mGroup.failover().isPrimary(pool);
        return new ReadPlacement.Candidate(
                pool.record().id(),
                primary,
                pool.runningCount(),
                pool.slots(),
                pool.hasFreeSlot() && pool.findIdle(call).isPresent(),
                primary || pool.progress().isExpectedToHave(requiredPosition, history, now),
                pool.record().dataCentre().equals(mGroup.settings().dataCentre()),
                mPlanner.isHome(pool, call.workspace()),
                !pool.isConnected(call.workspace()));
    }

    private int slotsOfCopy() {
        return Math.max(1, mGroup.slots() / Math.max(1, mGroup.copyCount()));
    }

    /** Returns whether a copy accepts new statements. */
    boolean isServing(CopyPool pool) {
        return pool.health() == CopyPool.Health.UP
                && !pool.record().leaving()
                && !mGroup.settings().drained().contains(pool.record().dataCentre());
    }

    /** Returns the log position that a copy must have applied to serve the reads of a call. */
    LogPosition requiredPosition(SessionCall call) {
        PositionHistory history = mGroup.history().orElseThrow();
        long oldestNanos =
                mContext.nowNanos() - Duration.ofMillis(call.options().maxAgeMillis()).toNanos();
        return switch (call.options().consistency()) {
            case PRIMARY -> history.latest();
            case OWN_WRITES -> history.asOf(oldestNanos).max(call.ownPosition());
            case STATED_AGE -> history.asOf(oldestNanos);
        };
    }
}
