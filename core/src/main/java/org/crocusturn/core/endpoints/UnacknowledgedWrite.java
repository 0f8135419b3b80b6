package org.crocusturn.core.endpoints;

import org.crocusturn.core.LogPosition;
import org.crocusturn.core.callers.GroupAnswer;

/**
 * A committed write that has not been acknowledged yet.
 *
 * @param number number of the command that ran the write
 * @param pending request that the write belongs to
 * @param position position of the write
 * @param term term in which it ran
 * @param answer answer to send once the write may be acknowledged
 * @param deadlineNanos monotonic time from which the outcome is reported as unknown
 */
record UnacknowledgedWrite(
        long number,
        PendingRequest pending,
        LogPosition position,
        long term,
        GroupAnswer answer,
        long deadlineNanos) {}
