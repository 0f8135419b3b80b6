package org.crocusturn.core.entryhosts;

import java.time.Duration;
import org.crocusturn.core.operators.RendezvousHash;

/**
 * Computes after which time a refused caller should try again.
 *
 * <p>Thousands of sessions are refused at the same time when a leaseholder is lost. If they came
 * back together, the next leaseholder, which has just begun to open connections, would be
 * overloaded at once. So they are spread over an interval as long as the wait, those of high
 * priority in its first half.
 */
public final class RetryDelay {
    /** Shortest wait, and the step by which waits grow while service is overdue. */
    static final long STEP_NANOS = Duration.ofMillis(100).toNanos();

    /** Longest wait while service is overdue; the time limits of routes are 800 ms and more. */
    static final long MAX_OVERDUE_NANOS = 4 * STEP_NANOS;

    /** Lowest priority that comes back in the first half of the interval. */
    private static final int MAX_EARLY_PRIORITY = 1;

    /** Scales a non-negative 63-bit number to the range from 0 to 1. */
    private static final double FRACTION = 0x1p-63;

    private RetryDelay() {}

    /**
     * Returns the time after which a caller should try again.
     *
     * @param serviceNanos time at which service can be expected
     * @param nowNanos current time
     * @param priority priority of the caller's route; 0 is the highest
     * @param session number of the session, which determines its place in the interval
     */
    public static Duration of(long serviceNanos, long nowNanos, int priority, long session) {
        long wait = waitNanos(serviceNanos - nowNanos);
        double place = (RendezvousHash.hash(Long.toString(session)) >>> 1) * FRACTION;
        double half = priority <= MAX_EARLY_PRIORITY ? 0 : 1;
        return Duration.ofNanos(wait + (long) (wait * (half + place) / 2));
    }

    private static long waitNanos(long untilServiceNanos) {
        if (untilServiceNanos > 0) {
            return Math.max(STEP_NANOS, untilServiceNanos);
        }
        long steps = 1 - untilServiceNanos / STEP_NANOS;
        return Math.min(MAX_OVERDUE_NANOS, steps * STEP_NANOS);
    }
}
