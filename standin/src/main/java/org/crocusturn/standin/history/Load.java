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
public final class Load implements AutoCloseable {
    private static final long PAUSE_MILLIS = 10;
    private static final Duration RETRY_LIMIT = Duration.ofSeconds(8);
    private static final Duration STOP_LIMIT = Duration.ofSeconds(60);

    private final ConcurrentLinkedQueue<Operation> mHistory = new ConcurrentLinkedQueue<>();
    private final AtomicLong mNumber = new AtomicLong();
    private final CountDownLatch mStop = new CountDownLatch(1);
    private final ExecutorService mThreads;

    private Load(int callers, IntFunction<Caller> caller, long seed) {
        mThreads = Executors.newFixedThreadPool(callers);
        IntStream.rangeClosed(1, callers)
                .forEach(n -> mThreads.execute(() -> run(caller.apply(n), new Random(seed + n))));
    }

    /**
     * Starts callers.
     *
     * @param callers number of callers; their sessions are numbered from 1
     * @param caller creates the caller of a session
     * @param seed seed of the order of operations
     */
    public static Load start(int callers, IntFunction<Caller> caller, long seed) {
        return new Load(callers, caller, seed);
    }

    /** Returns the operations that have ended. */
    public List<Operation> history() {
        return new ArrayList<>(mHistory);
    }

    /** Returns the number of writes acknowledged so far. */
    public long acknowledged() {
        return mHistory.stream().filter(o -> o.isWrite() && o.isAcknowledged()).count();
    }

    /** Lets the callers complete their last operation and returns the history. */
    public List<Operation> stop() {
        mStop.countDown();
        mThreads.shutdown();
        try {
            if (!mThreads.awaitTermination(STOP_LIMIT.toMillis(), TimeUnit.MILLISECONDS)) {
                throw new IllegalStateException("a caller did not end");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return history();
    }

    @Override
    public void close() {
        mStop.countDown();
        mThreads.shutdownNow();
    }

    /**
     * Returns the longest time without an acknowledged write after a moment, in nanoseconds.
     *
     * @param fromNanos the moment; the last acknowledgement before it counts as the start
     */
    public static long longestGapNanos(List<Operation> history, long fromNanos) {
        long[] ends =
                history.stream()
                        .filter(o -> o.isWrite() && o.isAcknowledged())
                        .mapToLong(Operation::endNanos)
                        .sorted()
                        .toArray();
        return IntStream.range(1, ends.length)
                .filter(n -> ends[n] > fromNanos)
                .mapToLong(n -> ends[n] - ends[n - 1])
                .max()
                .orElse(Long.MAX_VALUE);
    }

    private void run(Caller caller, Random random) {
        try {
            while (!mStop.await(PAUSE_MILLIS, TimeUnit.MILLISECONDS)) {
                mHistory.add(next(caller, random));
                if (random.nextInt(4) == 0) {
                    caller.roam();
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private Operation next(Caller caller, Random random) {
        return switch (random.nextInt(8)) {
            case 0, 1, 2 -> caller.writeOnce(mNumber.incrementAndGet(), RETRY_LIMIT);
            case 3, 4 -> caller.write(mNumber.incrementAndGet());
            case 5 -> caller.transaction(mNumber.incrementAndGet(), 2);
            default -> caller.read();
        };
    }
}
