package org.crocusturn.core.endpoints;

/**
 * A request that waits for a replica to catch up or for its next attempt.
 *
 * @param work the request
 * @param untilNanos monotonic time at which the request is queued again
 * @param replica whether a new status of a replica ends the wait early
 */
record Delayed(Work work, long untilNanos, boolean replica) {}
