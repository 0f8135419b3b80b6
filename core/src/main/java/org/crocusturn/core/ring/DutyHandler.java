package org.crocusturn.core.ring;

/**
 * Handles the events and the timer of one duty. All methods are called from the thread of the duty.
 *
 * @param <E> type of the events
 */
public interface DutyHandler<E> {
    /** Handles one event. */
    void onEvent(E event);

    /**
     * Runs the tasks that are due and returns the time at which the next one is due.
     *
     * <p>The method is also called after events, so it must be cheap when nothing is due.
     *
     * @param nowNanos current {@linkplain SteadyClock steady time} in nanoseconds
     * @return steady time of the next call, in nanoseconds
     */
    long onTimer(long nowNanos);
}
