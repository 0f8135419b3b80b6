package org.crocusturn.daemon.endpoints;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.BiPredicate;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.callers.FairQueue;
import org.crocusturn.core.endpoints.WaitEstimate;
import org.crocusturn.core.endpoints.WaitEstimate.Backlog;
import org.crocusturn.core.entryhosts.SessionCall;

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

        private List<StatementRun> inOrder() {
            return Stream.concat(mPrimary.inOrder().stream(), mAny.inOrder().stream()).toList();
        }
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

    /**
     * Returns the work that is done before a new call.
     *
     * @param call the call
     * @param eligible workspaces whose calls can start
     * @param estimate time that calls take
     */
    Backlog ahead(SessionCall call, Predicate<WorkspaceId> eligible, WaitEstimate estimate) {
        int priority = call.options().priority();
        Stream<Backlog> higher =
                mPriorities.headMap(priority).entrySet().stream()
                        .map(e -> work(e.getKey(), e.getValue(), estimate, sizeOf(eligible)));
        Stream<Backlog> same =
                Stream.ofNullable(mPriorities.get(priority))
                        .map(
                                queues ->
                                        work(
                                                priority,
                                                queues,
                                                estimate,
                                                queue -> queue.ahead(call.workspace(), eligible)));
        return Stream.concat(higher, same).reduce(Backlog.NONE, Backlog::plus);
    }

    /** Returns the work of all calls that can start. */
    Backlog backlog(Predicate<WorkspaceId> eligible, WaitEstimate estimate) {
        return mPriorities.entrySet().stream()
                .map(e -> work(e.getKey(), e.getValue(), estimate, sizeOf(eligible)))
                .reduce(Backlog.NONE, Backlog::plus);
    }

    private static ToIntFunction<FairQueue<StatementRun>> sizeOf(Predicate<WorkspaceId> eligible) {
        return queue -> queue.size(eligible);
    }

    private static Backlog work(
            int priority,
            PriorityQueues queues,
            WaitEstimate estimate,
            ToIntFunction<FairQueue<StatementRun>> count) {
        Backlog primary =
                estimate.work(
                        new WaitEstimate.Kind(priority, true), count.applyAsInt(queues.mPrimary));
        Backlog any =
                estimate.work(
                        new WaitEstimate.Kind(priority, false), count.applyAsInt(queues.mAny));
        return primary.plus(any);
    }

    /**
     * Removes and returns the calls that are late, examined in the order in which they would start.
     *
     * @param eligible calls that can start; others are kept
     * @param late whether a call is late after the work of the calls that stay ahead of it
     */
    List<StatementRun> removeLate(
            Predicate<StatementRun> eligible,
            Function<StatementRun, Backlog> work,
            BiPredicate<StatementRun, Backlog> late) {
        Set<StatementRun> removed = new LinkedHashSet<>();
        Backlog ahead = Backlog.NONE;
        for (PriorityQueues queues : mPriorities.values()) {
            for (StatementRun run : queues.inOrder().stream().filter(eligible).toList()) {
                if (late.test(run, ahead)) {
                    removed.add(run);
                } else {
                    ahead = ahead.plus(work.apply(run));
                }
            }
        }
        remove(removed);
        return List.copyOf(removed);
    }

    /** Removes and returns the calls that match a predicate. */
    List<StatementRun> remove(Predicate<StatementRun> test) {
        Set<StatementRun> removed =
                all().stream().filter(test).collect(Collectors.toCollection(LinkedHashSet::new));
        remove(removed);
        return List.copyOf(removed);
    }

    private void remove(Set<StatementRun> removed) {
        if (removed.isEmpty()) {
            return;
        }
        mPriorities
                .values()
                .forEach(
                        queues -> {
                            queues.mPrimary = queues.mPrimary.without(removed::contains);
                            queues.mAny = queues.mAny.without(removed::contains);
                        });
        mSize -= removed.size();
    }

    /**
     * Removes and returns the first call that can start.
     *
     * @param startable whether a call can start
     * @param primaryFree whether calls that need the primary are looked at
     * @param anyFree whether calls that any copy can run are looked at
     */
    Optional<StatementRun> take(
            Predicate<StatementRun> startable, boolean primaryFree, boolean anyFree) {
        for (PriorityQueues queues : mPriorities.values()) {
            Optional<FairQueue.Taken<StatementRun>> taken =
                    primaryFree ? queues.mPrimary.take(startable) : Optional.empty();
            if (taken.isPresent()) {
                queues.mPrimary = taken.get().remaining();
                mSize--;
                return Optional.of(taken.get().value());
            }
            taken = anyFree ? queues.mAny.take(startable) : Optional.empty();
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
