package org.crocusturn.daemon.endpoints;

import java.time.Duration;

/**
 * Tells when a lease has been over for so long that its connections belong to a successor; belongs
 * to the thread of its group.
 */
final class LeaseWatch {
    /**
     * Time after the end of a lease at which the connections are closed. A successor needs them,
     * because an endpoint counts those of all hosts; a change of the control leader renews a lease
     * that ended less long ago.
     */
    private static final long LAPSE_NANOS = Duration.ofMillis(200).toNanos();

    private long mValidNanos;
    private boolean mEnded;

    private LeaseWatch(long nowNanos) {
        mValidNanos = nowNanos;
    }

    /** Is what an observation shows. */
    enum Change {
        NONE,
        ENDED,
        RENEWED
    }

    /** Creates a watch of a lease that is valid now. */
    static LeaseWatch startingAt(long nowNanos) {
        return new LeaseWatch(nowNanos);
    }

    /** Takes an observation; the end of a lease and its renewal are each told once. */
    Change observe(boolean valid, long nowNanos) {
        if (valid) {
            boolean renewed = mEnded;
            mValidNanos = nowNanos;
            mEnded = false;
            return renewed ? Change.RENEWED : Change.NONE;
        }
        boolean ends = !mEnded && nowNanos - mValidNanos >= LAPSE_NANOS;
        mEnded |= ends;
        return ends ? Change.ENDED : Change.NONE;
    }
}
