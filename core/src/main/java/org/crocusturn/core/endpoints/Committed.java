package org.crocusturn.core.endpoints;

import org.crocusturn.core.LogPosition;
import org.crocusturn.core.callers.GroupAnswer;

/**
 * Is a committed write that is not acknowledged yet.
 *
 * @param number number of the command that ran it
 * @param work request that it serves
 * @param position position of the write
 * @param term term in which it ran
 * @param answer answer to give once it may be acknowledged
 * @param untilNanos monotonic time at which its outcome is reported as unknown
 */
record Committed(
        long number,
        Work work,
        LogPosition position,
        long term,
        GroupAnswer answer,
        long untilNanos) {}
