package org.crocusturn.core.entryhosts;

import java.time.Duration;

/** Policy for the delay between two attempts of a request. */
public interface RetryPolicy {
    /**
     * Returns the delay before the next attempt.
     *
     * @param attempt number of attempts so far, from 1
     */
    Duration delay(int attempt);
}
