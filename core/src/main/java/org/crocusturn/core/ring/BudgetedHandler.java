package org.crocusturn.core.ring;

import java.util.Objects;
import java.util.function.ToLongFunction;

/**
 * Releases the bytes of each event once another handler has handled it. Whoever offers an event has
 * reserved them before.
 *
 * @param <E> type of the events
 */
public final class BudgetedHandler<E> implements DutyHandler<E> {
    private final DutyHandler<E> mHandler;
    private final ByteBudget mBudget;
    private final ToLongFunction<E> mSize;

    private BudgetedHandler(DutyHandler<E> handler, ByteBudget budget, ToLongFunction<E> size) {
        mHandler = handler;
        mBudget = budget;
        mSize = size;
    }

    /**
     * Creates a handler that passes all calls on.
     *
     * @param handler handles the events
     * @param budget bytes of the events that wait
     * @param size approximate size of an event in memory, in bytes; the same for each call
     */
    public static <E> BudgetedHandler<E> of(
            DutyHandler<E> handler, ByteBudget budget, ToLongFunction<E> size) {
        return new BudgetedHandler<>(
                Objects.requireNonNull(handler, "handler"),
                Objects.requireNonNull(budget, "budget"),
                Objects.requireNonNull(size, "size"));
    }

    @Override
    public void onEvent(E event) {
        try {
            mHandler.onEvent(event);
        } finally {
            mBudget.release(mSize.applyAsLong(event));
        }
    }

    @Override
    public long onTimer(long nowNanos) {
        return mHandler.onTimer(nowNanos);
    }
}
