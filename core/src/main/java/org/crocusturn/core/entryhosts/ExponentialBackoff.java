package org.crocusturn.core.entryhosts;

import java.time.Duration;
import java.util.Objects;

/** Doubles the delay with each attempt, up to a maximum. */
public final class ExponentialBackoff implements RetryPolicy {
    /** Prevents overflow; 2^20 times the initial delay exceeds the deadline of any request. */
    private static final int MAX_DOUBLINGS = 20;

    private final Duration mInitialDelay;
    private final Duration mMaxDelay;

    private ExponentialBackoff(Duration initialDelay, Duration maxDelay) {
        mInitialDelay = Objects.requireNonNull(initialDelay, "initialDelay");
        mMaxDelay = Objects.requireNonNull(maxDelay, "maxDelay");
    }

    /** Creates the policy. */
    public static ExponentialBackoff of(Duration initialDelay, Duration maxDelay) {
        return new ExponentialBackoff(initialDelay, maxDelay);
    }

    @Override
    public Duration delay(int attempt) {
        int doublings = Math.max(0, Math.min(attempt - 1, MAX_DOUBLINGS));
        Duration delay = mInitialDelay.multipliedBy(1L << doublings);
        return delay.compareTo(mMaxDelay) < 0 ? delay : mMaxDelay;
    }
}
