package org.crocusturn.core.ring;

import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/**
 * A blocking queue of fixed capacity that connects the threads of duties.
 *
 * <p>A full ring rejects new elements; an empty ring blocks the reader. Neither side spins. Safe
 * for use by any number of writers and readers.
 *
 * @param <T> type of the elements
 */
public final class BoundedRing<T> {
    private final Object[] mSlots;
    private final ReentrantLock mLock = new ReentrantLock();
    private final Condition mNotEmpty = mLock.newCondition();
    private int mHead;
    private int mCount;

    private BoundedRing(int capacity) {
        mSlots = new Object[capacity];
    }

    /**
     * Creates an empty ring.
     *
     * @param capacity maximum number of waiting elements, at least 1
     */
    public static <T> BoundedRing<T> withCapacity(int capacity) {
        if (capacity < 1) {
            throw new IllegalArgumentException("capacity " + capacity + " must be at least 1");
        }
        return new BoundedRing<>(capacity);
    }

    /** Adds an element at the end and returns true, or returns false if the ring is full. */
    public boolean offer(T element) {
        return offer(element, mSlots.length);
    }

    /**
     * Adds an element at the end unless the number of waiting elements has reached a limit.
     *
     * <p>New work is offered with a limit below the capacity, so that space remains for the answers
     * to accepted work.
     *
     * @param element element to add
     * @param limit number of waiting elements at which the element is rejected
     * @return whether the element was added
     */
    public boolean offer(T element, int limit) {
        Objects.requireNonNull(element, "element");
        mLock.lock();
        try {
            if (mCount >= Math.min(limit, mSlots.length)) {
                return false;
            }
            mSlots[(mHead + mCount) % mSlots.length] = element;
            mCount++;
            mNotEmpty.signal();
            return true;
        } finally {
            mLock.unlock();
        }
    }

    /**
     * Removes and returns the first element, waiting until one is available or the timeout has
     * passed.
     *
     * @param timeoutNanos maximum time to wait in nanoseconds; with 0 or less the method does not
     *     wait
     * @throws InterruptedException if the thread is interrupted while it waits
     */
    public Optional<T> poll(long timeoutNanos) throws InterruptedException {
        long remaining = timeoutNanos;
        mLock.lockInterruptibly();
        try {
            while (mCount == 0) {
                if (remaining <= 0) {
                    return Optional.empty();
                }
                remaining = mNotEmpty.awaitNanos(remaining);
            }
            return Optional.of(removeFirst());
        } finally {
            mLock.unlock();
        }
    }

    /** Returns the number of waiting elements. */
    public int size() {
        mLock.lock();
        try {
            return mCount;
        } finally {
            mLock.unlock();
        }
    }

    /** Returns the maximum number of waiting elements. */
    public int capacity() {
        return mSlots.length;
    }

    @SuppressWarnings("unchecked")
    private T removeFirst() {
        T first = (T) mSlots[mHead];
        mSlots[mHead] = null;
        mHead = (mHead + 1) % mSlots.length;
        mCount--;
        return first;
    }
}
