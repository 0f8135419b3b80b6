package org.crocusturn.standin.history;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.IntFunction;
import java.util.stream.IntStream;

/**
 * Runs random operations of several callers, each on its own thread, and records them.
 *
 * <p>Thread-safe.
 */
public final class LoadGenerator implements AutoCloseable {
    private static final long THINK_TIME_MILLIS = 10;
    private static final Duration RETRY_LIMIT = Duration.ofSeconds(8);
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(60);

    private final ConcurrentLinkedQueue<Operation> mHistory = new ConcurrentLinkedQueue<>();
    private final AtomicLong mLastWriteNumber = new AtomicLong();
    private final CountDownLatch mStopRequested = new CountDownLatch(1);
    private final ExecutorService mThreads;

    private LoadGenerator(int callerCount, IntFunction<Caller> callerFactory, long seed) {
        mThreads = Executors.newFixedThreadPool(callerCount);
        IntStream.rangeClosed(1, callerCount)
                .forEach(
                        n ->
                                mThreads.execute(
                                        () ->
                                                runSession(
                                                        callerFactory.apply(n),
                                                        new Random(seed + n))));
    }

    /**
     * Starts the callers.
     *
     * @param callerCount number of callers; their sessions are numbered from 1
     * @param callerFactory creates the caller for a session number
     * @param seed seed of the random operations
     */
    public static LoadGenerator start(
            int callerCount, IntFunction<Caller> callerFactory, long seed) {
        return new LoadGenerator(callerCount, callerFactory, seed);
    }

    /** Returns the operations that have ended so far. */
    public List<Operation> history() {
        return new ArrayList<>(mHistory);
    }

    /** Returns the number of writes acknowledged so far. */
    public long acknowledgedWrites() {
        return mHistory.stream().filter(o -> o.isWrite() && o.isAcknowledged()).count();
    }

    /** Stops the callers after their current operations and returns the history. */
    public List<Operation> stop() {
        mStopRequested.countDown();
        mThreads.shutdown();
        try {
            if (!mThreads.awaitTermination(STOP_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)) {
                throw new IllegalStateException(
                        "a caller did not finish its last operation within the stop timeout");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return history();
    }

    @Override
    public void close() {
        mStopRequested.countDown();
        mThreads.shutdownNow();
    }

    /**
     * Returns the longest time between two acknowledged writes that ends after a given time.
     *
     * @param fromNanos time on the monotonic clock; the gap that spans it is included
     * @return the gap in nanoseconds, {@link Long#MAX_VALUE} if there is none
     */
    public static long longestGapNanos(List<Operation> history, long fromNanos) {
        long[] endNanos =
                history.stream()
                        .filter(o -> o.isWrite() && o.isAcknowledged())
                        .mapToLong(Operation::endNanos)
                        .sorted()
                        .toArray();
        return IntStream.range(1, endNanos.length)
                .filter(n -> endNanos[n] > fromNanos)
                .mapToLong(n -> endNanos[n] - endNanos[n - 1])
                .max()
                .orElse(Long.MAX_VALUE);
    }

    private void runSession(Caller caller, Random random) {
        try {
            while (!mStopRequested.await(THINK_TIME_MILLIS, TimeUnit.MILLISECONDS)) {
                mHistory.add(runRandomOperation(caller, random));
                if (random.nextInt(4) == 0) {
                    caller.switchHost();
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private Operation runRandomOperation(Caller caller, Random random) {
        return switch (random.nextInt(8)) {
            case 0, 1, 2 ->
                    caller.writeWithRequestId(mLastWriteNumber.incrementAndGet(), RETRY_LIMIT);
            case 3, 4 -> caller.write(mLastWriteNumber.incrementAndGet());
            case 5 -> caller.transaction(mLastWriteNumber.incrementAndGet(), 2);
            default -> caller.read();
        };
    }
}
