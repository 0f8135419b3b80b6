package org.crocusturn.core.endpoints;

import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import org.crocusturn.core.LogPosition;

/**
 * Remembers at which index the terms of a group began, as far as this host has learned it.
 *
 * <p>Immutable. A position survives a promotion if its index is not after the start index of the
 * newer term. Terms that began before this host followed the group are unknown, so a position from
 * before them counts as carried over if the known start indexes allow it.
 */
public final class TermHistory {
    /** The history of a group of which nothing is known. */
    public static final TermHistory EMPTY = new TermHistory(0, new TreeMap<>());

    private final long mTerm;
    private final TreeMap<Long, Long> mStarts;

    private TermHistory(long term, TreeMap<Long, Long> starts) {
        mTerm = term;
        mStarts = starts;
    }

    /** Returns the newest term that has a primary; 0 before the first. */
    public long term() {
        return mTerm;
    }

    /** Returns whether a position is part of the log of the newest term. */
    public boolean carries(LogPosition position) {
        if (position.term() > mTerm) {
            return false;
        }
        return mStarts.tailMap(position.term(), false).values().stream()
                .allMatch(start -> position.index() <= start);
    }

    /** Returns whether a position was discarded by a promotion. */
    public boolean lost(LogPosition position) {
        return position.term() <= mTerm && !carries(position);
    }

    /** Returns a copy that knows the start index of a term. */
    public TermHistory withTerm(long term, long startIndex) {
        if (mStarts.containsKey(term)) {
            return this;
        }
        TreeMap<Long, Long> starts = new TreeMap<>(mStarts);
        starts.put(term, startIndex);
        return new TermHistory(Math.max(mTerm, term), starts);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof TermHistory history && history.mStarts.equals(mStarts);
    }

    @Override
    public int hashCode() {
        return Objects.hash(mStarts);
    }

    @Override
    public String toString() {
        return "TermHistory" + Map.copyOf(mStarts);
    }
}
