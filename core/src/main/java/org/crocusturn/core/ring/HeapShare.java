package org.crocusturn.core.ring;

/**
 * A share of the heap of this process, for limits of buffers. The limits follow the heap that the
 * process was started with.
 */
public enum HeapShare {
    /** An eighth of the heap. */
    EIGHTH(8),

    /** A sixteenth of the heap. */
    SIXTEENTH(16);

    private final long mDivisor;

    HeapShare(long divisor) {
        mDivisor = divisor;
    }

    /** Returns the size of the share in bytes. */
    public long bytes() {
        return Runtime.getRuntime().maxMemory() / mDivisor;
    }

    /** Returns a new budget of this size. */
    public ByteBudget newBudget() {
        return ByteBudget.of(bytes());
    }
}
