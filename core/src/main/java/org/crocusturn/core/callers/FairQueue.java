package org.crocusturn.core.callers;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Predicate;
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

    private final PersistentMap<WorkspaceId, Line<T>> mLines;
    private final PersistentQueue<WorkspaceId> mRing;
    private final int mSize;
    private final long mEarliestNanos;

    private FairQueue(
            PersistentMap<WorkspaceId, Line<T>> lines,
            PersistentQueue<WorkspaceId> ring,
            int size,
            long earliestNanos) {
        mLines = lines;
        mRing = ring;
        mSize = size;
        mEarliestNanos = earliestNanos;
    }

    private record Item<T>(T value, long cost, long deadlineNanos) {}

    private record Line<T>(PersistentQueue<Item<T>> items, long deficit) {}

    /**
     * A request that was taken and the queue without it.
     *
     * @param value the request
     * @param rest queue without the request
     * @param <T> type of the requests
     */
    public record Taken<T>(T value, FairQueue<T> rest) {}

    /**
     * The result of dropping the requests whose deadline has passed.
     *
     * @param dropped dropped requests, grouped by workspace in order of arrival
     * @param rest queue without the dropped requests
     * @param <T> type of the requests
     */
    public record Expired<T>(List<T> dropped, FairQueue<T> rest) {}

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
        Line<T> line = mLines.get(workspace);
        return line == null ? 0 : line.items().size();
    }

    /** Returns all waiting requests, grouped by workspace in order of arrival. */
    public List<T> toList() {
        return mRing.toList().stream()
                .flatMap(w -> mLines.get(w).items().toList().stream())
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

    private FairQueue<T> add(WorkspaceId workspace, Item<T> item, boolean first) {
        Objects.requireNonNull(item.value(), "value");
        if (item.cost() < 1) {
            throw new IllegalArgumentException("cost " + item.cost() + " must be at least 1");
        }
        Line<T> line = mLines.get(workspace);
        Line<T> old = line == null ? new Line<>(PersistentQueue.empty(), 0) : line;
        PersistentQueue<Item<T>> items =
                first ? old.items().plusFirst(item) : old.items().plus(item);
        return new FairQueue<>(
                mLines.with(workspace, new Line<>(items, old.deficit())),
                line == null ? mRing.plus(workspace) : mRing,
                mSize + 1,
                mSize == 0 ? item.deadlineNanos() : Math.min(mEarliestNanos, item.deadlineNanos()));
    }

    /**
     * Takes the next request by deficit round robin.
     *
     * @param eligible whether the first request of a workspace can start now; if not, the workspace
     *     is skipped with all its requests and its deficit does not grow
     */
    public Optional<Taken<T>> take(Predicate<T> eligible) {
        PersistentMap<WorkspaceId, Line<T>> lines = mLines;
        PersistentQueue<WorkspaceId> ring = mRing;
        int passed = 0;
        while (passed < mRing.size()) {
            WorkspaceId workspace = ring.first();
            Line<T> line = lines.get(workspace);
            Item<T> head = line.items().first();
            if (!eligible.test(head.value())) {
                passed++;
                ring = ring.withoutFirst().plus(workspace);
                continue;
            }
            passed = 0;
            long deficit = line.deficit() + (line.deficit() < head.cost() ? QUANTUM : 0);
            if (deficit >= head.cost()) {
                return Optional.of(taken(lines, ring, head, deficit - head.cost()));
            }
            lines = lines.with(workspace, new Line<>(line.items(), deficit));
            ring = ring.withoutFirst().plus(workspace);
        }
        return Optional.empty();
    }

    private Taken<T> taken(
            PersistentMap<WorkspaceId, Line<T>> lines,
            PersistentQueue<WorkspaceId> ring,
            Item<T> head,
            long deficit) {
        WorkspaceId workspace = ring.first();
        PersistentQueue<Item<T>> items = lines.get(workspace).items().withoutFirst();
        boolean stays = !items.isEmpty() && deficit >= items.first().cost();
        PersistentQueue<WorkspaceId> next =
                stays
                        ? ring
                        : items.isEmpty()
                                ? ring.withoutFirst()
                                : ring.withoutFirst().plus(workspace);
        PersistentMap<WorkspaceId, Line<T>> left =
                items.isEmpty()
                        ? lines.without(workspace)
                        : lines.with(workspace, new Line<>(items, deficit));
        return new Taken<>(head.value(), new FairQueue<>(left, next, mSize - 1, mEarliestNanos));
    }

    /** Drops the requests whose deadline has passed. */
    public Expired<T> expire(long nowNanos) {
        if (mSize == 0 || mEarliestNanos > nowNanos) {
            return new Expired<>(List.of(), this);
        }
        List<T> dropped = new ArrayList<>();
        FairQueue<T> rest = empty();
        for (WorkspaceId workspace : mRing.toList()) {
            for (Item<T> item : mLines.get(workspace).items().toList()) {
                if (item.deadlineNanos() > nowNanos) {
                    rest = rest.add(workspace, item, false);
                } else {
                    dropped.add(item.value());
                }
            }
        }
        return new Expired<>(dropped, rest);
    }
}
