package org.crocusturn.core.endpoints;

import java.time.Duration;
import java.util.Objects;
import org.crocusturn.core.LogPosition;

/**
 * Is what a leaseholder knows of how far a copy has applied the log. Immutable.
 *
 * @param position position that the copy told last
 * @param lagNanos estimate of the time between an acknowledgement and its arrival at the copy
 */
public record CopyProgress(LogPosition position, long lagNanos) {
    /** Progress of a copy that has told nothing. */
    public static final CopyProgress UNKNOWN = new CopyProgress(LogPosition.ZERO, 0);

    /** Time beyond the estimated lag that a position gets to arrive. */
    static final long MARGIN_NANOS = Duration.ofMillis(10).toNanos();

    /** Checks that the position is not null. */
    public CopyProgress {
        Objects.requireNonNull(position, "position");
    }

    /** Returns the progress after an answer of the copy. A growing lag counts at once. */
    public CopyProgress with(LogPosition told, PositionHistory history, long nowNanos) {
        LogPosition latest = position.max(told);
        long seen =
                history.nanosAfter(latest).stream()
                        .map(nanos -> Math.max(0, nowNanos - nanos))
                        .findFirst()
                        .orElse(0);
        long lag = seen >= lagNanos ? seen : (lagNanos * 3 + seen) / 4;
        return new CopyProgress(latest, lag);
    }

    /** Returns the progress after the copy said that it lacks a position of a given age. */
    public CopyProgress withLacking(long ageNanos) {
        return new CopyProgress(position, Math.max(lagNanos, ageNanos + MARGIN_NANOS));
    }

    /** Returns whether the copy has, or by its lag should have, a position. */
    public boolean reaches(LogPosition needed, PositionHistory history, long nowNanos) {
        return position.compareTo(needed) >= 0
                || nowNanos - history.nanosOf(needed) > lagNanos + lagNanos / 2 + MARGIN_NANOS;
    }
}
