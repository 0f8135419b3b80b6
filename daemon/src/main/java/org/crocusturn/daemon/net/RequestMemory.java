package org.crocusturn.daemon.net;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.crocusturn.core.CrocusturnException;
import org.crocusturn.core.ErrorCode;
import org.crocusturn.core.Failure;
import org.crocusturn.core.Verdict;
import org.crocusturn.core.ring.ByteBudget;

/** The memory that one request takes from the budget of its server. Safe for any thread. */
final class RequestMemory {
    /** Time after which a refused client should try again; a request is usually handled by then. */
    private static final Duration RETRY_DELAY = Duration.ofSeconds(1);

    private final ByteBudget mBudget;
    private final AtomicLong mBytes;

    private RequestMemory(ByteBudget budget, long bytes) {
        mBudget = budget;
        mBytes = new AtomicLong(bytes);
    }

    /** Returns the memory of a request that holds nothing. */
    static RequestMemory none(ByteBudget budget) {
        return new RequestMemory(budget, 0);
    }

    /**
     * Reserves memory for a request.
     *
     * @throws CrocusturnException if it does not fit
     */
    static RequestMemory reserve(ByteBudget budget, long bytes) {
        requireRoom(budget, bytes);
        return new RequestMemory(budget, bytes);
    }

    /**
     * Reserves more memory. Called by the thread that reads the request, before another one may
     * release it.
     *
     * @throws CrocusturnException if it does not fit
     */
    void extend(long bytes) {
        requireRoom(mBudget, bytes);
        mBytes.addAndGet(bytes);
    }

    /** Releases the memory; only the first call has an effect. */
    void release() {
        mBudget.release(mBytes.getAndSet(0));
    }

    private static void requireRoom(ByteBudget budget, long bytes) {
        if (!budget.tryReserve(bytes)) {
            throw CrocusturnException.of(
                    new Failure(
                            ErrorCode.OVERLOADED,
                            Verdict.NOT_RUN,
                            "the requests in progress take all memory for requests",
                            Optional.of(RETRY_DELAY)));
        }
    }
}
