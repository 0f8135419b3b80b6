package org.crocusturn.core.ring;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * Runs a {@link DutyHandler} on one thread that takes events from a bounded ring.
 *
 * <p>Events can be offered from any thread. A {@link FailureHandler} decides whether the duty
 * continues after an exception of the handler. An error ends the duty, as does any failure of the
 * ring or the failure handler; an ended duty accepts no event.
 *
 * @param <E> type of the events
 */
public final class Duty<E> {
    /** Time until the next timer call after a failed one, in nanoseconds. */
    private static final long TIMER_RETRY_NANOS = 10_000_000;

    /**
     * Maximum number of polls without waiting between two timer calls, so that a busy ring does not
     * delay the timer indefinitely.
     */
    private static final int MAX_IMMEDIATE_POLLS = 64;

    private final String mName;
    private final BoundedRing<E> mRing;
    private final DutyHandler<E> mHandler;
    private final FailureHandler mFailures;
    private final ExecutorService mExecutor;
    private volatile boolean mEnded;

    private Duty(String name, int capacity, DutyHandler<E> handler, FailureHandler failures) {
        mName = name;
        mRing = BoundedRing.withCapacity(capacity);
        mHandler = handler;
        mFailures = failures;
        mExecutor =
                Executors.newSingleThreadExecutor(
                        task -> {
                            Thread thread = new Thread(task, name);
                            thread.setDaemon(true);
                            return thread;
                        });
    }

    /**
     * Creates a duty and starts its thread.
     *
     * @param name name of the thread
     * @param capacity capacity of the ring
     * @param handler handler of the events and the timer
     * @param failures handles the failures of the duty
     */
    public static <E> Duty<E> start(
            String name, int capacity, DutyHandler<E> handler, FailureHandler failures) {
        Objects.requireNonNull(handler, "handler");
        Objects.requireNonNull(failures, "failures");
        Duty<E> duty = new Duty<>(name, capacity, handler, failures);
        duty.mExecutor.execute(duty::run);
        return duty;
    }

    /**
     * Adds an event to the ring and returns true, or returns false if the ring is full or a failure
     * has ended the duty.
     */
    public boolean offer(E event) {
        return !mEnded && mRing.offer(event);
    }

    /**
     * Adds an event to the ring unless the number of waiting events has reached a limit or a
     * failure has ended the duty; see {@link BoundedRing#offer(Object, int)}.
     */
    public boolean offer(E event, int limit) {
        return !mEnded && mRing.offer(event, limit);
    }

    /** Returns the number of waiting events. */
    public int backlog() {
        return mRing.size();
    }

    /** Interrupts the thread and returns whether it ended before the timeout. */
    public boolean stop(Duration timeout) {
        mExecutor.shutdownNow();
        try {
            return mExecutor.awaitTermination(timeout.toNanos(), TimeUnit.NANOSECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    private void run() {
        try {
            handleEvents();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (Throwable e) {
            mEnded = true;
            mFailures.onEnd(Thread.currentThread(), e);
        }
    }

    private void handleEvents() throws InterruptedException {
        long nextTimerNanos = SteadyClock.nanoTime();
        while (!Thread.currentThread().isInterrupted()) {
            Optional<E> event = mRing.poll(nextTimerNanos - SteadyClock.nanoTime());
            for (int polls = 0; event.isPresent(); polls++) {
                handle(event.get());
                event = polls < MAX_IMMEDIATE_POLLS ? mRing.poll(0) : Optional.empty();
            }
            nextTimerNanos = runTimer(SteadyClock.nanoTime());
        }
    }

    private void handle(E event) {
        try {
            mHandler.onEvent(event);
        } catch (RuntimeException e) {
            mFailures.onException(e);
        }
    }

    private long runTimer(long nowNanos) {
        try {
            return mHandler.onTimer(nowNanos);
        } catch (RuntimeException e) {
            mFailures.onException(e);
            return nowNanos + TIMER_RETRY_NANOS;
        }
    }

    @Override
    public String toString() {
        return "Duty[" + mName + "]";
    }
}
