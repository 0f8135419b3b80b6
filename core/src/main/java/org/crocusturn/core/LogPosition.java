package org.crocusturn.core;

import java.util.Comparator;

/**
 * A position in a replicated log, ordered by term and then by index.
 *
 * @param term term in which the entry was written; 0 before the first entry
 * @param index index of the entry; 0 before the first entry
 */
public record LogPosition(long term, long index) implements Comparable<LogPosition> {
    /** The position before the first entry. */
    public static final LogPosition ZERO = new LogPosition(0, 0);

    /** Largest term that is accepted from an endpoint, so that each term has a successor. */
    public static final long MAX_TERM = Long.MAX_VALUE - 1;

    private static final Comparator<LogPosition> ORDER =
            Comparator.comparingLong(LogPosition::term).thenComparingLong(LogPosition::index);

    /** Checks that neither component is negative. */
    public LogPosition {
        if (term < 0 || index < 0) {
            throw new IllegalArgumentException(
                    "term " + term + " and index " + index + " must not be negative");
        }
    }

    /** Creates a position. */
    public static LogPosition of(long term, long index) {
        return new LogPosition(term, index);
    }

    /** Returns the later of two positions. */
    public LogPosition max(LogPosition other) {
        return compareTo(other) >= 0 ? this : other;
    }

    @Override
    public int compareTo(LogPosition other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        return term + ":" + index;
    }
}
