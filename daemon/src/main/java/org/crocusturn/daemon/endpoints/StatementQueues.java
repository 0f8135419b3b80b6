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
    private final SortedMap<Integer, PriorityQueues> mPriorities = new TreeMap<>();
    private int mSize;

    /** Queues of one priority. */
    private static final class PriorityQueues {
        private FairQueue<StatementRun> mPrimary = FairQueue.empty();
        private FairQueue<StatementRun> mAny = FairQueue.empty();
    }

    int size() {
        return mSize;
    }

    /** Adds a call at the end of its workspace's queue, or at the front if it is retried. */
    void add(StatementRun run, boolean first) {
        PriorityQueues queues =
                mPriorities.computeIfAbsent(
                        run.call().options().priority(), p -> new PriorityQueues());
        if (run.call().needsPrimary()) {
            queues.mPrimary = added(queues.mPrimary, run, first);
        } else {
            queues.mAny = added(queues.mAny, run, first);
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
        for (PriorityQueues queues : mPriorities.values()) {
            Optional<FairQueue.Taken<StatementRun>> taken = queues.mPrimary.take(startable);
            if (taken.isPresent()) {
                queues.mPrimary = taken.get().remaining();
                mSize--;
                return Optional.of(taken.get().value());
            }
            taken = queues.mAny.take(startable);
            if (taken.isPresent()) {
                queues.mAny = taken.get().remaining();
                mSize--;
                return Optional.of(taken.get().value());
            }
        }
        return Optional.empty();
    }

    /** Removes and returns the calls whose queueing time has expired. */
    List<StatementRun> expire(long nowNanos) {
        List<StatementRun> expired = new ArrayList<>();
        for (PriorityQueues queues : mPriorities.values()) {
            FairQueue.Expired<StatementRun> primary = queues.mPrimary.expire(nowNanos);
            FairQueue.Expired<StatementRun> any = queues.mAny.expire(nowNanos);
            queues.mPrimary = primary.remaining();
            queues.mAny = any.remaining();
            expired.addAll(primary.dropped());
            expired.addAll(any.dropped());
        }
        mSize -= expired.size();
        return expired;
    }

    /** Returns all queued calls. */
    List<StatementRun> all() {
        List<StatementRun> all = new ArrayList<>();
        mPriorities
                .values()
                .forEach(
                        queues -> {
                            all.addAll(queues.mPrimary.toList());
                            all.addAll(queues.mAny.toList());
                        });
        return all;
    }

    /** Removes all queued calls. */
    void clear() {
        mPriorities.clear();
        mSize = 0;
    }
}
