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

/** Runs callers on threads of their own until it is stopped; safe for any thread. */
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
     * Starts callers.
     *
     * @param callerCount number of callers; their sessions are numbered from 1
     * @param callerFactory creates the caller of a session
     * @param seed seed of the order of operations
     */
    public static LoadGenerator start(
            int callerCount, IntFunction<Caller> callerFactory, long seed) {
        return new LoadGenerator(callerCount, callerFactory, seed);
    }

    /** Returns the operations that have ended. */
    public List<Operation> history() {
        return new ArrayList<>(mHistory);
    }

    /** Returns the number of writes acknowledged so far. */
    public long acknowledgedWrites() {
        return mHistory.stream().filter(o -> o.isWrite() && o.isAcknowledged()).count();
    }

    /** Lets the callers complete their last operation and returns the history. */
    public List<Operation> stop() {
        mStopRequested.countDown();
        mThreads.shutdown();
        try {
            if (!mThreads.awaitTermination(STOP_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)) {
                throw new IllegalStateException("a caller did not end");
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
     * Returns the longest time without an acknowledged write after a moment, in nanoseconds.
     *
     * @param fromNanos the moment; the last acknowledgement before it counts as the start
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
