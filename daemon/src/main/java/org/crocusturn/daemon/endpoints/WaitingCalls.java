package org.crocusturn.daemon.endpoints;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.crocusturn.core.ErrorCode;

/**
 * Calls of a group that wait for a rate token, a slot or a connection.
 *
 * <p>Not thread-safe: used only by the thread of the group.
 */
final class WaitingCalls {
    /**
     * Limit on waiting calls for each slot. Each of them is examined every 20 ms, and until service
     * times are known nothing else limits their number.
     */
    private static final int CALLS_PER_SLOT = 25;

    private static final double NANOS_PER_SECOND = 1e9;

    private final LeasedGroup mGroup;
    private final CopyRouting mRouting;
    private final ConnectionPlanner mPlanner;
    private final ServiceTimes mTimes;
    private final GroupContext mContext;
    private final StatementQueues mQueues = new StatementQueues();

    WaitingCalls(
            LeasedGroup group,
            CopyRouting routing,
            ConnectionPlanner planner,
            ServiceTimes times,
            GroupContext context) {
        mPlanner = planner;
        mTimes = times;
        mGroup = group;
        mRouting = routing;
        mContext = context;
    }

    int size() {
        return mQueues.size();
    }

    /** Returns the waiting calls, including those that already hold a rate token. */
    List<StatementRun> all() {
        return mQueues.all();
    }

    /**
     * Queues a call that has arrived, or refuses it if it would wait for too long; returns whether
     * it was queued.
     */
    boolean add(StatementRun run) {
        if (mQueues.size() >= CALLS_PER_SLOT * Math.max(1, mGroup.slots())) {
            refuseLater(run, "arrival", "the queue of the group is full");
            return false;
        }
        mPlanner.recordDemand(run.call());
        run.setTokenWaitNanos(mContext.tokenWaitNanos(run.call().workspace()));
        mTimes.recordArrival(run.call(), mContext.nowNanos());
        boolean tooLong =
                mContext.hasToken(run.call().workspace())
                        && mTimes.waitsTooLong(
                                run, mQueues, mContext::hasToken, mContext.nowNanos());
        if (tooLong) {
            refuseLater(run, "arrival", "no slot is expected to become free in time");
        } else {
            mQueues.add(run, false);
        }
        return !tooLong;
    }

    /** Refuses a call, which may be sent again when the waiting calls are expected to be gone. */
    private void refuseLater(StatementRun run, String when, String message) {
        mContext.metrics().recordCallRefused(when);
        Duration delay = mTimes.retryAfter(run.call(), mQueues, mContext::hasToken);
        mGroup.refuse(run, ErrorCode.OVERLOADED, message, delay);
    }

    /** Queues a call for another attempt, before the other calls of its workspace. */
    void addFirst(StatementRun run) {
        mQueues.add(run, true);
    }

    /** Removes and returns the next call that can start, whose copy and rate token are set. */
    Optional<StatementRun> takeNext() {
        Optional<StatementRun> next = takeLateOrStartable();
        while (next.filter(this::isTooLate).isPresent()) {
            refuseLater(next.get(), "queued", "the call can no longer end in time");
            next = takeLateOrStartable();
        }
        next.filter(run -> !run.isTokenTaken()).ifPresent(this::takeToken);
        return next;
    }

    /**
     * Takes a call from the queues whose calls have a copy with a slot. While all slots are busy,
     * each result would otherwise look at the calls of all workspaces.
     */
    private Optional<StatementRun> takeLateOrStartable() {
        return mQueues.take(
                this::isTooLateOrAssigned, mRouting.isPrimaryFree(), mRouting.isAnyCopyFree());
    }

    private boolean isTooLateOrAssigned(StatementRun run) {
        return isTooLate(run) || assignCopy(run);
    }

    private boolean isTooLate(StatementRun run) {
        return mTimes.isTooLate(run, mContext.nowNanos());
    }

    /** Assigns a call to a copy that can start it now; returns false if there is none. */
    private boolean assignCopy(StatementRun run) {
        boolean allowed =
                run.isDue(mContext.nowNanos())
                        && (run.isTokenTaken() || mContext.hasToken(run.call().workspace()));
        Optional<CopyPool> target = allowed ? mRouting.selectCopy(run) : Optional.empty();
        target.ifPresent(run::setCopy);
        return target.isPresent();
    }

    private void takeToken(StatementRun run) {
        mContext.takeToken(run.call().workspace());
        mContext.metrics()
                .recordQueueTime((mContext.nowNanos() - run.arrivedNanos()) / NANOS_PER_SECOND);
        run.setTokenTaken();
    }

    /** Refuses the calls whose queueing time has expired, or will expire before a slot is free. */
    void expire(long nowNanos) {
        mQueues.expire(nowNanos).forEach(this::refuseExpired);
        if (mQueues.size() <= mGroup.slots()) {
            return;
        }
        mQueues.removeLate(
                        run -> run.isTokenTaken() || mContext.hasToken(run.call().workspace()),
                        mTimes::work,
                        mTimes.lateness(nowNanos))
                .forEach(run -> refuseLater(run, "queued", "no slot will become free in time"));
    }

    private void refuseExpired(StatementRun run) {
        boolean limited = !run.isTokenTaken() && !mContext.hasToken(run.call().workspace());
        if (limited) {
            mGroup.refuse(run, ErrorCode.RATE_LIMITED, "the workspace is over its rate");
        } else {
            refuseLater(run, "expired", "no slot became free in time");
        }
    }

    /** Removes and returns the calls that match a predicate. */
    List<StatementRun> remove(Predicate<StatementRun> test) {
        return mQueues.remove(test);
    }

    /** Refuses all waiting calls, which may be sent to another host. */
    void refuseAll(String reason) {
        mQueues.all().forEach(run -> mGroup.refuse(run, ErrorCode.MOVED, reason));
        mQueues.clear();
    }
}
