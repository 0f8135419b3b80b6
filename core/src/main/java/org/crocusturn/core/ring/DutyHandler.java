package org.crocusturn.core.ring;

/**
 * Does the work of one duty; all calls come from the thread of that duty.
 *
 * @param <E> type of the events
 */
public interface DutyHandler<E> {
    /** Handles one event. */
    void onEvent(E event);

    /**
     * Does what is due at a time and returns the next time at which something is due.
     *
     * <p>It is called after events too, so it has to be cheap when nothing is due.
     *
     * @param nowNanos monotonic time in nanoseconds
     * @return monotonic time of the next call, in nanoseconds
     */
    long onTimer(long nowNanos);
}
