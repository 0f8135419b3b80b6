package org.crocusturn.core.endpoints;

/**
 * A request that waits for a replica to catch up or for its next attempt.
 *
 * @param pending the request
 * @param retryNanos monotonic time at which the request is queued again
 * @param waitsForReplica whether a new status of a replica ends the wait early
 */
record DelayedRequest(PendingRequest pending, long retryNanos, boolean waitsForReplica) {}
