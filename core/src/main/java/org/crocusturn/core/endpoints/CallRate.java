package org.crocusturn.core.endpoints;

import java.time.Duration;

/**
 * Rate at which calls arrive, with older calls counting less. Immutable.
 *
 * @param count decayed number of calls
 * @param nanos monotonic time to which the number is decayed
 */
public record CallRate(double count, long nanos) {
    /** Rate before the first call. */
    public static final CallRate NONE = new CallRate(0, 0);

    /** Time constant of the decay, long enough that a burst of tenths of a second counts little. */
    private static final long DECAY_NANOS = Duration.ofSeconds(2).toNanos();

    /** Returns the rate after the arrival of a call. */
    public CallRate withCall(long nowNanos) {
        return new CallRate(countAt(nowNanos) + 1, nowNanos);
    }

    /** Returns the calls per second. */
    public int perSecond(long nowNanos) {
        double seconds = (double) DECAY_NANOS / Duration.ofSeconds(1).toNanos();
        return (int) Math.round(countAt(nowNanos) / seconds);
    }

    private double countAt(long nowNanos) {
        return count * Math.exp(-(double) Math.max(0, nowNanos - nanos) / DECAY_NANOS);
    }
}
