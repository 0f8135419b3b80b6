package org.crocusturn.daemon.endpoints;

import java.time.Duration;

/**
 * Detects that a lease ended so long ago that its connections must be closed for the next
 * leaseholder.
 *
 * <p>Not thread-safe: used only by the thread of its group.
 */
final class LeaseExpiryMonitor {
    /**
     * Time from the end of a lease to the closing of its connections. The next leaseholder needs
     * them closed, because an endpoint limits the connections of all hosts together. The delay
     * covers a change of the control leader, after which the lease is usually renewed.
     */
    private static final long CLOSE_DELAY_NANOS = Duration.ofMillis(200).toNanos();

    private long mLastValidNanos;
    private boolean mEnded;

    private LeaseExpiryMonitor(long nowNanos) {
        mLastValidNanos = nowNanos;
    }

    /** Change detected by an observation. */
    enum Change {
        NONE,
        ENDED,
        RENEWED
    }

    /** Creates an instance for a lease that is valid now. */
    static LeaseExpiryMonitor startingAt(long nowNanos) {
        return new LeaseExpiryMonitor(nowNanos);
    }

    /** Records an observation; the end of a lease and its renewal are each reported once. */
    Change observe(boolean valid, long nowNanos) {
        if (valid) {
            boolean renewed = mEnded;
            mLastValidNanos = nowNanos;
            mEnded = false;
            return renewed ? Change.RENEWED : Change.NONE;
        }
        boolean ends = !mEnded && nowNanos - mLastValidNanos >= CLOSE_DELAY_NANOS;
        mEnded |= ends;
        return ends ? Change.ENDED : Change.NONE;
    }
}
