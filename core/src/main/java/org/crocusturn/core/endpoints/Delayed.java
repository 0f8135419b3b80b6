package org.crocusturn.core.endpoints;

/**
 * Is a request that waits for a replica or for another attempt.
 *
 * @param work the request
 * @param untilNanos monotonic time at which it is queued again
 * @param replica whether a newer status of a replica can end the wait
 */
record Delayed(Work work, long untilNanos, boolean replica) {}
