package org.crocusturn.core.endpoints;

import java.time.Duration;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.function.Predicate;
import org.crocusturn.core.LogPosition;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * Acknowledgement times of recent log positions of a group, for reads with a maximum age.
 *
 * <p>Immutable. Adding a position costs O(log n) and a lookup O(log² n) for n entries.
 *
 * @param entries acknowledged positions, oldest first
 */
public record PositionHistory(PVector<Entry> entries) {
    /** Acknowledgements within this interval share an entry, which keeps the earlier time. */
    static final long MERGE_INTERVAL_NANOS = Duration.ofMillis(5).toNanos();

    /**
     * Of the entries older than this, only the newest is kept; routes use maximum ages of seconds.
     */
    static final long RETENTION_NANOS = Duration.ofSeconds(10).toNanos();

    /** Rejects null entries. */
    public PositionHistory {
        Objects.requireNonNull(entries, "entries");
    }

    /**
     * An acknowledged position.
     *
     * @param position the position
     * @param nanos monotonic time at which the position was acknowledged, or an earlier time
     */
    public record Entry(LogPosition position, long nanos) {}

    /**
     * Creates the history of a new leaseholder.
     *
     * @param position position of the primary, at or after all acknowledged positions
     * @param nowNanos current time
     */
    public static PositionHistory startingAt(LogPosition position, long nowNanos) {
        return new PositionHistory(TreePVector.singleton(new Entry(position, nowNanos)));
    }

    /** Returns the newest acknowledged position. */
    public LogPosition latest() {
        return entries.get(entries.size() - 1).position();
    }

    /** Returns the newest position acknowledged at or before a time, or the oldest known one. */
    public LogPosition asOf(long nanos) {
        int later = firstIndex(e -> e.nanos() - nanos > 0);
        return entries.get(Math.max(0, later - 1)).position();
    }

    /**
     * Returns the acknowledgement time of the first known position at or after the given one, or of
     * the newest if there is none.
     */
    public long acknowledgedNanos(LogPosition position) {
        int reached = firstIndex(e -> e.position().compareTo(position) >= 0);
        return entries.get(Math.min(reached, entries.size() - 1)).nanos();
    }

    /**
     * Returns the acknowledgement time of the first position after the given one, if there is one.
     */
    public OptionalLong nextAcknowledgedNanos(LogPosition position) {
        int next = firstIndex(e -> e.position().compareTo(position) > 0);
        return next < entries.size()
                ? OptionalLong.of(entries.get(next).nanos())
                : OptionalLong.empty();
    }

    /**
     * Returns the index of the first entry that matches, or the number of entries if none does.
     *
     * @param test matches every entry after the first one that it matches
     */
    private int firstIndex(Predicate<Entry> test) {
        int low = 0;
        int high = entries.size();
        while (low < high) {
            int middle = (low + high) >>> 1;
            if (test.test(entries.get(middle))) {
                high = middle;
            } else {
                low = middle + 1;
            }
        }
        return low;
    }

    /** Returns the history after an acknowledgement; a position that is not newer is ignored. */
    public PositionHistory with(LogPosition position, long nowNanos) {
        Entry last = entries.get(entries.size() - 1);
        if (position.compareTo(last.position()) <= 0) {
            return this;
        }
        boolean merge = entries.size() > 1 && nowNanos - last.nanos() < MERGE_INTERVAL_NANOS;
        PVector<Entry> next =
                merge
                        ? entries.with(entries.size() - 1, new Entry(position, last.nanos()))
                        : entries.plus(new Entry(position, nowNanos));
        while (next.size() > 1 && nowNanos - next.get(1).nanos() > RETENTION_NANOS) {
            next = next.minus(0);
        }
        return new PositionHistory(next);
    }
}
