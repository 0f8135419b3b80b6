package org.crocusturn.core.entryhosts;

import java.time.Duration;
import java.util.Objects;

/** Doubles the delay with each attempt, up to a maximum. */
public final class DoublingRetry implements RetryPolicy {
    /** Prevents overflow; 2^20 times the initial delay exceeds the deadline of any request. */
    private static final int MAX_DOUBLINGS = 20;

    private final Duration mFirst;
    private final Duration mLongest;

    private DoublingRetry(Duration first, Duration longest) {
        mFirst = Objects.requireNonNull(first, "first");
        mLongest = Objects.requireNonNull(longest, "longest");
    }

    /** Creates the policy. */
    public static DoublingRetry of(Duration first, Duration longest) {
        return new DoublingRetry(first, longest);
    }

    @Override
    public Duration delay(int attempt) {
        int doublings = Math.max(0, Math.min(attempt - 1, MAX_DOUBLINGS));
        Duration delay = mFirst.multipliedBy(1L << doublings);
        return delay.compareTo(mLongest) < 0 ? delay : mLongest;
    }
}
