package org.crocusturn.core.ring;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Limits the bytes that work in progress holds in memory. Rings limit only the number of events,
 * and a configuration may be a thousand times as large as another event.
 *
 * <p>Each reservation must be released once. Safe for any thread.
 */
public final class ByteBudget {
    private final long mLimit;
    private final AtomicLong mUsed = new AtomicLong();

    private ByteBudget(long limit) {
        mLimit = limit;
    }

    /**
     * Creates a budget.
     *
     * @param limitBytes bytes that may be reserved at a time, at least 1
     */
    public static ByteBudget of(long limitBytes) {
        if (limitBytes < 1) {
            throw new IllegalArgumentException("limit " + limitBytes + " must be at least 1");
        }
        return new ByteBudget(limitBytes);
    }

    /** Reserves bytes and returns true, or returns false if they do not fit. */
    public boolean tryReserve(long bytes) {
        return tryReserve(bytes, mLimit);
    }

    /**
     * Reserves bytes unless more than a given number would then be reserved. Work that can wait is
     * given a lower limit, so that room remains for work that cannot.
     *
     * @return whether the bytes were reserved
     */
    public boolean tryReserve(long bytes, long limitBytes) {
        long limit = Math.min(limitBytes, mLimit);
        long before = mUsed.getAndUpdate(used -> bytes <= limit - used ? used + bytes : used);
        return bytes <= limit - before;
    }

    /**
     * Reserves bytes if they fit, or if nothing is reserved, so that work that is larger than the
     * limit is done by itself.
     *
     * @return whether the bytes were reserved
     */
    public boolean tryReserveOrSole(long bytes) {
        return tryReserve(bytes) || tryReserveIfUnused(bytes);
    }

    /** Reserves bytes if nothing is reserved, and returns whether they were. */
    public boolean tryReserveIfUnused(long bytes) {
        return mUsed.compareAndSet(0, bytes);
    }

    /** Reserves bytes for work that cannot be refused, also beyond the limit. */
    public void reserve(long bytes) {
        mUsed.addAndGet(bytes);
    }

    /** Releases reserved bytes. */
    public void release(long bytes) {
        mUsed.addAndGet(-bytes);
    }

    /** Returns whether the limit is reached. */
    public boolean isExhausted() {
        return mUsed.get() >= mLimit;
    }

    /** Returns the reserved bytes. */
    public long usedBytes() {
        return mUsed.get();
    }

    /** Returns the limit in bytes. */
    public long limitBytes() {
        return mLimit;
    }
}
