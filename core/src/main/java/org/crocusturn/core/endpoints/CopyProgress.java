package org.crocusturn.core.endpoints;

import java.time.Duration;
import java.util.Objects;
import org.crocusturn.core.LogPosition;

/**
 * A leaseholder's estimate of how far a copy has applied the log. Immutable.
 *
 * <p>A copy that receives no reads reports no position, so a high lag estimate decays with time.
 * Without the decay, a copy that has caught up would never be read from again, and its share of the
 * reads would overload the primary.
 *
 * @param position last position that the copy reported
 * @param lagNanos estimated time from the acknowledgement of a write to its arrival at the copy
 * @param lastReportNanos monotonic time of the last response that the estimate is based on
 */
public record CopyProgress(LogPosition position, long lagNanos, long lastReportNanos) {
    /** Progress of a copy that has reported no position. */
    public static final CopyProgress UNKNOWN = new CopyProgress(LogPosition.ZERO, 0, 0);

    /** Half-life of the estimate while the copy does not respond; a lagging copy gets few reads. */
    static final long HALF_LIFE_NANOS = Duration.ofMillis(500).toNanos();

    /** Safety margin on top of the estimated lag. */
    static final long ARRIVAL_MARGIN_NANOS = Duration.ofMillis(10).toNanos();

    /** Rejects a null position. */
    public CopyProgress {
        Objects.requireNonNull(position, "position");
    }

    /** Returns the progress after a response; an increase of the lag is not smoothed. */
    public CopyProgress withReport(LogPosition reported, PositionHistory history, long nowNanos) {
        LogPosition latest = position.max(reported);
        long observedLag =
                history.nextAcknowledgedNanos(latest).stream()
                        .map(nanos -> Math.max(0, nowNanos - nanos))
                        .findFirst()
                        .orElse(0);
        long lag = observedLag >= lagNanos ? observedLag : (lagNanos * 3 + observedLag) / 4;
        return new CopyProgress(latest, lag, nowNanos);
    }

    /** Returns the progress after the copy reported that it lacks a position of the given age. */
    public CopyProgress withMissingPosition(long ageNanos, long nowNanos) {
        return new CopyProgress(
                position,
                Math.max(decayedLag(nowNanos), ageNanos + ARRIVAL_MARGIN_NANOS),
                nowNanos);
    }

    /** Returns whether the copy has a position, or should have it by the estimated lag. */
    public boolean isExpectedToHave(LogPosition needed, PositionHistory history, long nowNanos) {
        long lag = decayedLag(nowNanos);
        return position.compareTo(needed) >= 0
                || nowNanos - history.acknowledgedNanos(needed)
                        > lag + lag / 2 + ARRIVAL_MARGIN_NANOS;
    }

    private long decayedLag(long nowNanos) {
        long halvings = Math.max(0, nowNanos - lastReportNanos) / HALF_LIFE_NANOS;
        return lagNanos >> Math.min(halvings, Long.SIZE - 1);
    }
}
