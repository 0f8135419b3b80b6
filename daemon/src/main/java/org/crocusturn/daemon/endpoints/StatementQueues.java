package org.crocusturn.daemon.endpoints;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.crocusturn.core.callers.FairQueue;

/**
 * Queues the calls of a group by priority, with fair queueing among workspaces in each priority.
 *
 * <p>Calls that only the primary can run have a queue of their own, so that a busy primary does not
 * delay reads that a replica can serve.
 */
final class StatementQueues {
    private final SortedMap<Integer, Lane> mLanes = new TreeMap<>();
    private int mSize;

    /** Queues of one priority. */
    private static final class Lane {
        private FairQueue<StatementRun> mPrimary = FairQueue.empty();
        private FairQueue<StatementRun> mAny = FairQueue.empty();
    }

    int size() {
        return mSize;
    }

    /** Adds a call at the end of its workspace's queue, or at the front if it is retried. */
    void add(StatementRun run, boolean first) {
        Lane lane = mLanes.computeIfAbsent(run.call().terms().priority(), p -> new Lane());
        if (run.call().needsPrimary()) {
            lane.mPrimary = added(lane.mPrimary, run, first);
        } else {
            lane.mAny = added(lane.mAny, run, first);
        }
        mSize++;
    }

    private static FairQueue<StatementRun> added(
            FairQueue<StatementRun> queue, StatementRun run, boolean first) {
        return first
                ? queue.withFirst(run.call().workspace(), run, 1, run.waitUntilNanos())
                : queue.with(run.call().workspace(), run, 1, run.waitUntilNanos());
    }

    /** Removes and returns the first call that can start. */
    Optional<StatementRun> take(Predicate<StatementRun> startable) {
        for (Lane lane : mLanes.values()) {
            Optional<FairQueue.Taken<StatementRun>> taken = lane.mPrimary.take(startable);
            if (taken.isPresent()) {
                lane.mPrimary = taken.get().rest();
                mSize--;
                return Optional.of(taken.get().value());
            }
            taken = lane.mAny.take(startable);
            if (taken.isPresent()) {
                lane.mAny = taken.get().rest();
                mSize--;
                return Optional.of(taken.get().value());
            }
        }
        return Optional.empty();
    }

    /** Removes and returns the calls whose queueing time has expired. */
    List<StatementRun> expire(long nowNanos) {
        List<StatementRun> expired = new ArrayList<>();
        for (Lane lane : mLanes.values()) {
            FairQueue.Expired<StatementRun> primary = lane.mPrimary.expire(nowNanos);
            FairQueue.Expired<StatementRun> any = lane.mAny.expire(nowNanos);
            lane.mPrimary = primary.rest();
            lane.mAny = any.rest();
            expired.addAll(primary.dropped());
            expired.addAll(any.dropped());
        }
        mSize -= expired.size();
        return expired;
    }

    /** Returns all queued calls. */
    List<StatementRun> all() {
        List<StatementRun> all = new ArrayList<>();
        mLanes.values()
                .forEach(
                        lane -> {
                            all.addAll(lane.mPrimary.toList());
                            all.addAll(lane.mAny.toList());
                        });
        return all;
    }

    /** Removes all queued calls. */
    void clear() {
        mLanes.clear();
        mSize = 0;
    }
}
