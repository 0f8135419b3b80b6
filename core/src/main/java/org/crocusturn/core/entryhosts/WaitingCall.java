package org.crocusturn.core.entryhosts;

import java.time.Duration;

/**
 * What decides how long a call may wait for a leaseholder.
 *
 * @param session number of the session
 * @param priority priority of the route; 0 is the highest
 * @param targetNanos latency target of the route; 0 if it has none
 * @param timeoutNanos time limit of the route
 * @param sinceNanos time from which the call counts as waiting, in nanoseconds
 * @param sentBefore whether a leaseholder may have received it
 * @param excludedEpoch epoch of the lease under which it is not sent again; 0 if there is none
 */
public record WaitingCall(
        long session,
        int priority,
        long targetNanos,
        long timeoutNanos,
        long sinceNanos,
        boolean sentBefore,
        long excludedEpoch) {
    /** Maximum time that a call of a route without a latency target waits, in nanoseconds. */
    private static final long DEFAULT_HOLD_NANOS = Duration.ofMillis(400).toNanos();

    /** A planned move takes some 50 ms, and a caller that waits longer could ask another host. */
    private static final int HELD_PARTS_OF_TARGET = 4;

    /** Returns the maximum time for which the call waits for a leaseholder. */
    public long holdNanos() {
        long hold = targetNanos > 0 ? targetNanos / HELD_PARTS_OF_TARGET : DEFAULT_HOLD_NANOS;
        return Math.min(hold, timeoutNanos / 2);
    }
}
