package org.crocusturn.daemon.endpoints;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.operators.UsageWindow;
import org.crocusturn.core.platform.UsageWindows;

/**
 * Cumulative counts of requests by window and workspace.
 *
 * <p>Mutable for reasons of cost: a request takes a look-up of the index of its workspace and an
 * addition to an array, and allocates nothing unless it is the first of its workspace. Not
 * thread-safe: used only by the thread of the groups.
 */
final class UsageCounters {
    /** Number of workspaces at which the indexes of those without counts are used again. */
    private static final int MAX_WORKSPACES = 10_000;

    private final UsageWindows mWindows;
    private final Slot[] mSlots;
    private final Map<WorkspaceId, Integer> mIndexes = new HashMap<>();
    private List<WorkspaceId> mWorkspaces = new ArrayList<>();
    private long mSequence = 1;
    private long mLastChange;
    private long mLastExpired = Long.MIN_VALUE;
    private long mLateRequests;

    UsageCounters(UsageWindows windows) {
        mWindows = windows;
        mSlots = Stream.generate(Slot::new).limit(windows.keptWindows()).toArray(Slot[]::new);
    }

    /** Counts of one window, by the index of the workspace. */
    private static final class Slot {
        private boolean mUsed;
        private long mWindow;
        private long mLastChange;
        private long[] mCounts = {};

        /** Sequence of the report that has the latest change of each count. */
        private long[] mChanges = {};

        private void open(long window) {
            mUsed = true;
            mWindow = window;
            mLastChange = 0;
            Arrays.fill(mCounts, 0);
            Arrays.fill(mChanges, 0);
        }

        private void add(int index, long sequence) {
            if (index >= mCounts.length) {
                int length = Math.max(index + 1, 2 * mCounts.length);
                mCounts = Arrays.copyOf(mCounts, length);
                mChanges = Arrays.copyOf(mChanges, length);
            }
            mCounts[index]++;
            mChanges[index] = sequence;
            mLastChange = sequence;
        }

        private boolean hasCount(int index) {
            return mUsed && index < mCounts.length && mCounts[index] > 0;
        }

        private void reorder(int[] indexes) {
            mCounts = reordered(mCounts, indexes);
            mChanges = reordered(mChanges, indexes);
        }

        private static long[] reordered(long[] values, int[] indexes) {
            return Arrays.stream(indexes)
                    .mapToLong(i -> i < values.length ? values[i] : 0)
                    .toArray();
        }
    }

    /**
     * Counts a request. A window whose counts were dropped is not counted again, because its counts
     * would decrease.
     */
    void count(WorkspaceId workspace, long window) {
        Slot slot = mSlots[(int) Math.floorMod(window, (long) mSlots.length)];
        if (!slot.mUsed || slot.mWindow != window) {
            if (window <= mLastExpired || slot.mUsed && slot.mWindow > window) {
                mLateRequests++;
                return;
            }
            expire(slot);
            slot.open(window);
        }
        slot.add(index(workspace), mSequence);
        mLastChange = mSequence;
    }

    private int index(WorkspaceId workspace) {
        Integer index = mIndexes.get(workspace);
        if (index != null) {
            return index;
        }
        mIndexes.put(workspace, mWorkspaces.size());
        mWorkspaces.add(workspace);
        return mWorkspaces.size() - 1;
    }

    /** Returns whether a count has changed since a report. */
    boolean isChangedSince(long sequence) {
        return mLastChange > sequence;
    }

    /** Returns the counts that have changed since a report; those of all windows since report 0. */
    List<UsageWindow> changedSince(long sequence) {
        return Arrays.stream(mSlots)
                .filter(slot -> slot.mUsed && slot.mLastChange > sequence)
                .sorted(Comparator.comparingLong(slot -> slot.mWindow))
                .map(slot -> changedSince(slot, sequence))
                .toList();
    }

    private UsageWindow changedSince(Slot slot, long sequence) {
        return UsageWindow.of(
                slot.mWindow,
                IntStream.range(0, Math.min(slot.mCounts.length, mWorkspaces.size()))
                        .filter(i -> slot.mChanges[i] > sequence)
                        .boxed()
                        .collect(Collectors.toMap(mWorkspaces::get, i -> slot.mCounts[i])));
    }

    /** Returns the sequence of a report with all counts so far; later ones belong to the next. */
    long endReport() {
        return mSequence++;
    }

    /** Drops the counts of windows that are not kept at a true time. */
    void expire(long trueTimeMillis) {
        Arrays.stream(mSlots)
                .filter(slot -> slot.mUsed && !mWindows.isKept(slot.mWindow, trueTimeMillis))
                .forEach(
                        slot -> {
                            if (mWindows.endMillis(slot.mWindow) <= trueTimeMillis) {
                                expire(slot);
                            }
                            slot.mUsed = false;
                        });
        if (mWorkspaces.size() >= MAX_WORKSPACES) {
            removeWorkspacesWithoutCounts();
        }
    }

    private void expire(Slot slot) {
        if (slot.mUsed) {
            mLastExpired = Math.max(mLastExpired, slot.mWindow);
        }
    }

    private void removeWorkspacesWithoutCounts() {
        int[] kept =
                IntStream.range(0, mWorkspaces.size())
                        .filter(i -> Arrays.stream(mSlots).anyMatch(slot -> slot.hasCount(i)))
                        .toArray();
        mWorkspaces =
                Arrays.stream(kept)
                        .mapToObj(mWorkspaces::get)
                        .collect(Collectors.toCollection(ArrayList::new));
        Arrays.stream(mSlots).forEach(slot -> slot.reorder(kept));
        mIndexes.clear();
        IntStream.range(0, kept.length).forEach(i -> mIndexes.put(mWorkspaces.get(i), i));
    }

    /** Returns the number of requests that were too late for their window since the last call. */
    long takeLateRequests() {
        long late = mLateRequests;
        mLateRequests = 0;
        return late;
    }
}
