package org.crocusturn.core.ring;

import java.util.Objects;
import java.util.function.LongSupplier;

/**
 * Measures elapsed time, including time during which the machine was suspended.
 *
 * <p>{@link System#nanoTime} does not advance while a machine is suspended, so a lease timed by it
 * alone would be used after its expiry. The time of day does advance. Whenever it has gained more
 * than {@link #MIN_SUSPENSION_NANOS} on the monotonic clock, the difference is added to the elapsed
 * time. A forward step of the time of day therefore only makes leases expire early, and a backward
 * step has no effect.
 *
 * <p>Thread-safe. Values never decrease.
 */
public final class SteadyClock {
    /** Difference above which a suspension is assumed; clock slewing stays far below it. */
    static final long MIN_SUSPENSION_NANOS = 20_000_000;

    private static final long NANOS_PER_MILLI = 1_000_000;

    private static final SteadyClock SYSTEM =
            new SteadyClock(System::nanoTime, () -> System.currentTimeMillis() * NANOS_PER_MILLI);

    private final LongSupplier mMonotonic;
    private final LongSupplier mTimeOfDay;
    private long mOffsetNanos;
    private long mSuspendedNanos;

    private SteadyClock(LongSupplier monotonic, LongSupplier timeOfDay) {
        mMonotonic = monotonic;
        mTimeOfDay = timeOfDay;
        mOffsetNanos = timeOfDay.getAsLong() - monotonic.getAsLong();
    }

    /**
     * Creates a clock on two sources, both in nanoseconds.
     *
     * @param monotonic clock that does not advance during a suspension
     * @param timeOfDay clock that advances during a suspension, but may be stepped
     */
    static SteadyClock of(LongSupplier monotonic, LongSupplier timeOfDay) {
        return new SteadyClock(
                Objects.requireNonNull(monotonic, "monotonic"),
                Objects.requireNonNull(timeOfDay, "timeOfDay"));
    }

    /**
     * Returns the steady time of this process in nanoseconds; only differences between values are
     * meaningful.
     */
    public static long nanoTime() {
        return SYSTEM.now();
    }

    /** Returns the steady time in nanoseconds. */
    synchronized long now() {
        long monotonic = mMonotonic.getAsLong();
        long offset = mTimeOfDay.getAsLong() - monotonic;
        long gained = offset - mOffsetNanos;
        if (gained > MIN_SUSPENSION_NANOS) {
            mSuspendedNanos += gained;
        }
        mOffsetNanos = offset;
        return monotonic + mSuspendedNanos;
    }
}
