package org.crocusturn.core.entryhosts;

import java.time.Duration;

/** Decides how long a request waits before its next attempt. */
public interface RetryPolicy {
    /**
     * Returns the time until the next attempt.
     *
     * @param attempt number of attempts so far, from 1
     */
    Duration delay(int attempt);
}
