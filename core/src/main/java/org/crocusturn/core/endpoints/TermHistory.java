package org.crocusturn.core.endpoints;

import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import org.crocusturn.core.LogPosition;

/**
 * Start indexes of the terms of a group, as far as this host knows them.
 *
 * <p>Immutable. A position survives a promotion if its index does not exceed the start index of the
 * newer term. Start indexes of terms before this host learned of the group are unknown, so an older
 * position is assumed to have survived if the known start indexes permit it.
 */
public final class TermHistory {
    /** The history without any known term. */
    public static final TermHistory EMPTY = new TermHistory(0, new TreeMap<>());

    private final long mTerm;
    private final TreeMap<Long, Long> mStartIndexes;

    private TermHistory(long term, TreeMap<Long, Long> starts) {
        mTerm = term;
        mStartIndexes = starts;
    }

    /** Returns the newest known term; 0 if there is none. */
    public long term() {
        return mTerm;
    }

    /** Returns whether a position is part of the log of the newest term. */
    public boolean contains(LogPosition position) {
        if (position.term() > mTerm) {
            return false;
        }
        return mStartIndexes.tailMap(position.term(), false).values().stream()
                .allMatch(start -> position.index() <= start);
    }

    /** Returns whether a promotion discarded a position. */
    public boolean isDiscarded(LogPosition position) {
        return position.term() <= mTerm && !contains(position);
    }

    /** Returns a copy with the start index of a term; a known one is not changed. */
    public TermHistory withTerm(long term, long startIndex) {
        if (mStartIndexes.containsKey(term)) {
            return this;
        }
        TreeMap<Long, Long> starts = new TreeMap<>(mStartIndexes);
        starts.put(term, startIndex);
        return new TermHistory(Math.max(mTerm, term), starts);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof TermHistory history && history.mStartIndexes.equals(mStartIndexes);
    }

    @Override
    public int hashCode() {
        return Objects.hash(mStartIndexes);
    }

    @Override
    public String toString() {
        return "TermHistory" + Map.copyOf(mStartIndexes);
    }
}
