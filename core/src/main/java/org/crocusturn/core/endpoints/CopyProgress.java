package org.crocusturn.core.endpoints;

import java.time.Duration;
import java.util.Objects;
import org.crocusturn.core.LogPosition;

/**
 * Is what a leaseholder knows of how far a copy has applied the log. Immutable.
 *
 * <p>A copy that gets no reads tells nothing, so a high estimate fades with time. Otherwise a copy
 * whose lag has ended would be left out for good, and its reads would overload the primary.
 *
 * @param position position that the copy told last
 * @param lagNanos estimate of the time between an acknowledgement and its arrival at the copy
 * @param toldNanos steady time of the last answer that the estimate comes from
 */
public record CopyProgress(LogPosition position, long lagNanos, long toldNanos) {
    /** Progress of a copy that has told nothing. */
    public static final CopyProgress UNKNOWN = new CopyProgress(LogPosition.ZERO, 0, 0);

    /** Time without an answer in which the estimate halves; a copy that lags gets few reads. */
    static final long HALF_LIFE_NANOS = Duration.ofMillis(500).toNanos();

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
        return new CopyProgress(latest, lag, nowNanos);
    }

    /** Returns the progress after the copy said that it lacks a position of a given age. */
    public CopyProgress withLacking(long ageNanos, long nowNanos) {
        return new CopyProgress(
                position, Math.max(fadedLag(nowNanos), ageNanos + MARGIN_NANOS), nowNanos);
    }

    /** Returns whether the copy has, or by its lag should have, a position. */
    public boolean reaches(LogPosition needed, PositionHistory history, long nowNanos) {
        long lag = fadedLag(nowNanos);
        return position.compareTo(needed) >= 0
                || nowNanos - history.nanosOf(needed) > lag + lag / 2 + MARGIN_NANOS;
    }

    private long fadedLag(long nowNanos) {
        long halvings = Math.max(0, nowNanos - toldNanos) / HALF_LIFE_NANOS;
        return lagNanos >> Math.min(halvings, Long.SIZE - 1);
    }
}
