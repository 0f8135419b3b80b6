package org.crocusturn.standin.measure;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.crocusturn.core.ring.Duty;

/** A running load that sends its arrivals on a thread of its own. */
final class Load {
    private static final Logger LOG = LogManager.getLogger(Load.class);
    private static final int RING_CAPACITY = 1 << 16;
    private static final Duration LAST_RESPONSE_TIMEOUT = Duration.ofSeconds(60);
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(2);

    private final long mStartNanos;
    private final Duty<LoadEvent> mDuty;
    private final CompletableFuture<List<Sample>> mDone;
    private final Duration mDuration;

    private Load(
            long startNanos,
            Duty<LoadEvent> duty,
            CompletableFuture<List<Sample>> done,
            Duration length) {
        mStartNanos = startNanos;
        mDuty = duty;
        mDone = done;
        mDuration = length;
    }

    /** Starts a load that sends the given arrivals. */
    static Load start(StatementClient client, List<Arrival> arrivals, boolean requestIds) {
        CompletableFuture<List<Sample>> done = new CompletableFuture<>();
        long start = System.nanoTime();
        LoadDuty handler = new LoadDuty(client, arrivals, requestIds, start, done);
        Duty<LoadEvent> duty =
                Duty.start("measure-load", RING_CAPACITY, handler, e -> LOG.error("measure:", e));
        handler.setEventSink(duty::offer);
        Duration length =
                Duration.ofNanos(
                        arrivals.isEmpty() ? 0 : arrivals.get(arrivals.size() - 1).dueNanos());
        return new Load(start, duty, done, length);
    }

    /** Returns the time since the start in nanoseconds. */
    long elapsedNanos() {
        return System.nanoTime() - mStartNanos;
    }

    /** Waits until the given time has elapsed since the start. */
    void awaitElapsed(Duration elapsed) {
        try {
            long remaining = elapsed.toNanos() - elapsedNanos();
            new CountDownLatch(1).await(remaining, TimeUnit.NANOSECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        }
    }

    /** Waits for the last answer and returns all samples in the order of completion. */
    List<Sample> join() {
        try {
            long remaining = mDuration.plus(LAST_RESPONSE_TIMEOUT).toNanos() - elapsedNanos();
            return mDone.get(remaining, TimeUnit.NANOSECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        } catch (ExecutionException | TimeoutException e) {
            throw new IllegalStateException("the load did not complete", e);
        } finally {
            mDuty.stop(STOP_TIMEOUT);
        }
    }
}
