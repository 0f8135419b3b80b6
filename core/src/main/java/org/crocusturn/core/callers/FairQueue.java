package org.crocusturn.core.callers;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import org.crocusturn.core.PersistentMap;
import org.crocusturn.core.PersistentQueue;
import org.crocusturn.core.WorkspaceId;

/**
 * A queue of requests that shares service between workspaces by deficit round robin.
 *
 * <p>Immutable. Adding a request takes one map update. Taking one visits each workspace whose first
 * request is not eligible or costs more than its deficit: at most the number of waiting workspaces
 * times the highest cost of a request in quanta. {@link #expire} scans all requests, but only once
 * the earliest deadline has passed.
 *
 * @param <T> type of the requests
 */
public final class FairQueue<T> {
    /** Cost units that are added to the deficit of a workspace in each round. */
    public static final long QUANTUM = 1;

    private static final FairQueue<?> EMPTY =
            new FairQueue<>(PersistentMap.empty(), PersistentQueue.empty(), 0, Long.MAX_VALUE);

    private final PersistentMap<WorkspaceId, WorkspaceQueue<T>> mQueues;
    private final PersistentQueue<WorkspaceId> mActiveWorkspaces;
    private final int mSize;
    private final long mEarliestDeadlineNanos;

    private FairQueue(
            PersistentMap<WorkspaceId, WorkspaceQueue<T>> queues,
            PersistentQueue<WorkspaceId> activeWorkspaces,
            int size,
            long earliestDeadlineNanos) {
        mQueues = queues;
        mActiveWorkspaces = activeWorkspaces;
        mSize = size;
        mEarliestDeadlineNanos = earliestDeadlineNanos;
    }

    private record Item<T>(T value, long cost, long deadlineNanos) {}

    private record WorkspaceQueue<T>(PersistentQueue<Item<T>> items, long deficit) {}

    /**
     * A request that was taken and the queue without it.
     *
     * @param value the request
     * @param remaining queue without the request
     * @param <T> type of the requests
     */
    public record Taken<T>(T value, FairQueue<T> remaining) {}

    /**
     * The result of dropping the requests whose deadline has passed.
     *
     * @param dropped dropped requests, grouped by workspace in order of arrival
     * @param remaining queue without the dropped requests
     * @param <T> type of the requests
     */
    public record Expired<T>(List<T> dropped, FairQueue<T> remaining) {}

    /** Returns the empty queue. */
    @SuppressWarnings("unchecked") // the empty queue holds no requests
    public static <T> FairQueue<T> empty() {
        return (FairQueue<T>) EMPTY;
    }

    /** Returns the number of waiting requests. */
    public int size() {
        return mSize;
    }

    /** Returns whether no request is waiting. */
    public boolean isEmpty() {
        return mSize == 0;
    }

    /** Returns the number of waiting requests of a workspace. */
    public int size(WorkspaceId workspace) {
        WorkspaceQueue<T> queue = mQueues.get(workspace);
        return queue == null ? 0 : queue.items().size();
    }

    /**
     * Returns the number of waiting requests that are taken before a new one of a workspace.
     *
     * @param eligible workspaces whose requests can start; the others are skipped
     */
    public int ahead(WorkspaceId workspace, Predicate<WorkspaceId> eligible) {
        int own = size(workspace);
        return mActiveWorkspaces.toList().stream()
                .filter(eligible)
                .mapToInt(w -> w.equals(workspace) ? own : Math.min(size(w), own + 1))
                .sum();
    }

    /**
     * Returns the waiting requests in about the order in which they are taken: the first ones of
     * all workspaces, then the second ones and so on.
     */
    public List<T> inOrder() {
        List<List<Item<T>>> queues =
                mActiveWorkspaces.toList().stream()
                        .map(w -> mQueues.get(w).items().toList())
                        .toList();
        int longest = queues.stream().mapToInt(List::size).max().orElse(0);
        return IntStream.range(0, longest)
                .boxed()
                .flatMap(i -> queues.stream().filter(q -> q.size() > i).map(q -> q.get(i)))
                .map(Item::value)
                .toList();
    }

    /** Returns a copy without some of the requests. */
    public FairQueue<T> without(Predicate<T> test) {
        FairQueue<T> remaining = empty();
        for (WorkspaceId workspace : mActiveWorkspaces.toList()) {
            for (Item<T> item : mQueues.get(workspace).items().toList()) {
                remaining =
                        test.test(item.value()) ? remaining : remaining.add(workspace, item, false);
            }
        }
        return remaining;
    }

    /** Returns the number of waiting requests of the workspaces whose requests can start. */
    public int size(Predicate<WorkspaceId> eligible) {
        return mActiveWorkspaces.toList().stream().filter(eligible).mapToInt(this::size).sum();
    }

    /** Returns all waiting requests, grouped by workspace in order of arrival. */
    public List<T> toList() {
        return mActiveWorkspaces.toList().stream()
                .flatMap(w -> mQueues.get(w).items().toList().stream())
                .map(Item::value)
                .toList();
    }

    /**
     * Returns a copy with a request at the end of its workspace's queue.
     *
     * @param workspace workspace of the request
     * @param value the request
     * @param cost cost of the request in cost units, at least 1
     * @param deadlineNanos monotonic time at which the request expires
     */
    public FairQueue<T> with(WorkspaceId workspace, T value, long cost, long deadlineNanos) {
        return add(workspace, new Item<>(value, cost, deadlineNanos), false);
    }

    /** Returns a copy with a request at the head of its workspace's queue. */
    public FairQueue<T> withFirst(WorkspaceId workspace, T value, long cost, long deadlineNanos) {
        return add(workspace, new Item<>(value, cost, deadlineNanos), true);
    }

    private FairQueue<T> add(WorkspaceId workspace, Item<T> item, boolean atHead) {
        Objects.requireNonNull(item.value(), "value");
        if (item.cost() < 1) {
            throw new IllegalArgumentException("cost " + item.cost() + " must be at least 1");
        }
        WorkspaceQueue<T> existing = mQueues.get(workspace);
        WorkspaceQueue<T> queue =
                existing == null ? new WorkspaceQueue<>(PersistentQueue.empty(), 0) : existing;
        PersistentQueue<Item<T>> items =
                atHead ? queue.items().plusFirst(item) : queue.items().plus(item);
        return new FairQueue<>(
                mQueues.with(workspace, new WorkspaceQueue<>(items, queue.deficit())),
                existing == null ? mActiveWorkspaces.plus(workspace) : mActiveWorkspaces,
                mSize + 1,
                mSize == 0
                        ? item.deadlineNanos()
                        : Math.min(mEarliestDeadlineNanos, item.deadlineNanos()));
    }

    /**
     * Takes the next request by deficit round robin.
     *
     * @param eligible whether the first request of a workspace can start now; if not, the workspace
     *     is skipped with all its requests and its deficit does not grow
     */
    public Optional<Taken<T>> take(Predicate<T> eligible) {
        PersistentMap<WorkspaceId, WorkspaceQueue<T>> queues = mQueues;
        PersistentQueue<WorkspaceId> activeWorkspaces = mActiveWorkspaces;
        int skipped = 0;
        while (skipped < mActiveWorkspaces.size()) {
            WorkspaceId workspace = activeWorkspaces.first();
            WorkspaceQueue<T> queue = queues.get(workspace);
            Item<T> head = queue.items().first();
            if (!eligible.test(head.value())) {
                skipped++;
                activeWorkspaces = activeWorkspaces.withoutFirst().plus(workspace);
                continue;
            }
            skipped = 0;
            long deficit = queue.deficit() + (queue.deficit() < head.cost() ? QUANTUM : 0);
            if (deficit >= head.cost()) {
                return Optional.of(
                        removeHead(queues, activeWorkspaces, head, deficit - head.cost()));
            }
            queues = queues.with(workspace, new WorkspaceQueue<>(queue.items(), deficit));
            activeWorkspaces = activeWorkspaces.withoutFirst().plus(workspace);
        }
        return Optional.empty();
    }

    private Taken<T> removeHead(
            PersistentMap<WorkspaceId, WorkspaceQueue<T>> queues,
            PersistentQueue<WorkspaceId> activeWorkspaces,
            Item<T> head,
            long deficit) {
        WorkspaceId workspace = activeWorkspaces.first();
        PersistentQueue<Item<T>> items = queues.get(workspace).items().withoutFirst();
        boolean keepsTurn = !items.isEmpty() && deficit >= items.first().cost();
        PersistentQueue<WorkspaceId> remainingWorkspaces =
                keepsTurn
                        ? activeWorkspaces
                        : items.isEmpty()
                                ? activeWorkspaces.withoutFirst()
                                : activeWorkspaces.withoutFirst().plus(workspace);
        PersistentMap<WorkspaceId, WorkspaceQueue<T>> remainingQueues =
                items.isEmpty()
                        ? queues.without(workspace)
                        : queues.with(workspace, new WorkspaceQueue<>(items, deficit));
        return new Taken<>(
                head.value(),
                new FairQueue<>(
                        remainingQueues, remainingWorkspaces, mSize - 1, mEarliestDeadlineNanos));
    }

    /** Drops the requests whose deadline has passed. */
    public Expired<T> expire(long nowNanos) {
        if (mSize == 0 || mEarliestDeadlineNanos > nowNanos) {
            return new Expired<>(List.of(), this);
        }
        List<T> dropped = new ArrayList<>();
        FairQueue<T> remaining = empty();
        for (WorkspaceId workspace : mActiveWorkspaces.toList()) {
            for (Item<T> item : mQueues.get(workspace).items().toList()) {
                if (item.deadlineNanos() > nowNanos) {
                    remaining = remaining.add(workspace, item, false);
                } else {
                    dropped.add(item.value());
                }
            }
        }
        return new Expired<>(dropped, remaining);
    }
}
