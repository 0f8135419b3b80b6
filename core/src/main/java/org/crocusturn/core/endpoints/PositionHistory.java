package org.crocusturn.core.endpoints;

import java.time.Duration;
import java.util.Objects;
import org.crocusturn.core.LogPosition;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * Remembers when the positions of a group were acknowledged, for reads that accept a stated age.
 *
 * <p>Immutable. Adding costs O(log entries); a question costs O(entries).
 *
 * @param entries acknowledged positions, oldest first
 */
public record PositionHistory(PVector<Entry> entries) {
    /** Acknowledgements that are closer than this share an entry, which counts as the earlier. */
    static final long MERGE_NANOS = Duration.ofMillis(5).toNanos();

    /** Time after which only the newest older entry is kept; routes state ages of a few seconds. */
    static final long KEPT_NANOS = Duration.ofSeconds(10).toNanos();

    /** Checks that the entries are not null. */
    public PositionHistory {
        Objects.requireNonNull(entries, "entries");
    }

    /**
     * Is an acknowledged position.
     *
     * @param position the position
     * @param nanos steady time at which it was acknowledged, or an earlier one
     */
    public record Entry(LogPosition position, long nanos) {}

    /**
     * Creates the history of a new leaseholder.
     *
     * @param position position of the primary; all earlier acknowledgements are at or before it
     * @param nowNanos current time
     */
    public static PositionHistory startingAt(LogPosition position, long nowNanos) {
        return new PositionHistory(TreePVector.singleton(new Entry(position, nowNanos)));
    }

    /** Returns the newest acknowledged position. */
    public LogPosition latest() {
        return entries.get(entries.size() - 1).position();
    }

    /** Returns the newest position that was acknowledged by a time, or the oldest known one. */
    public LogPosition asOf(long nanos) {
        for (int i = entries.size() - 1; i > 0; i--) {
            if (entries.get(i).nanos() - nanos <= 0) {
                return entries.get(i).position();
            }
        }
        return entries.get(0).position();
    }

    /** Returns the time at which a position was acknowledged, or the earliest known later one. */
    public long nanosOf(LogPosition position) {
        return entries.stream()
                .filter(e -> e.position().compareTo(position) >= 0)
                .findFirst()
                .orElseGet(() -> entries.get(entries.size() - 1))
                .nanos();
    }

    /** Returns the time of the first acknowledgement after a position; empty if there is none. */
    public java.util.OptionalLong nanosAfter(LogPosition position) {
        return entries.stream()
                .filter(e -> e.position().compareTo(position) > 0)
                .mapToLong(Entry::nanos)
                .findFirst();
    }

    /** Returns the history after an acknowledgement; an earlier position changes nothing. */
    public PositionHistory with(LogPosition position, long nowNanos) {
        Entry last = entries.get(entries.size() - 1);
        if (position.compareTo(last.position()) <= 0) {
            return this;
        }
        boolean merge = entries.size() > 1 && nowNanos - last.nanos() < MERGE_NANOS;
        PVector<Entry> next =
                merge
                        ? entries.with(entries.size() - 1, new Entry(position, last.nanos()))
                        : entries.plus(new Entry(position, nowNanos));
        while (next.size() > 1 && nowNanos - next.get(1).nanos() > KEPT_NANOS) {
            next = next.minus(0);
        }
        return new PositionHistory(next);
    }
}
