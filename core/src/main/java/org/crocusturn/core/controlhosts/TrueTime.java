package org.crocusturn.core.controlhosts;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;

/**
 * True time as a process derives it from the receipts of the control leader. Immutable.
 *
 * <p>It is kept as the offset of the true time to the monotonic clock of the process, so that steps
 * of the time of day have no effect once a receipt has arrived. Monotonic times are those of {@link
 * System#nanoTime}: {@link org.crocusturn.core.ring.SteadyClock} mistakes a step of the time of day
 * for a suspension.
 */
public final class TrueTime {
    /** Number of receipts of which the one with the shortest round trip is used. */
    private static final int MAX_SAMPLES = 8;

    /** Age at which a receipt is not used any more; clocks drift by less than 1 ms in that time. */
    private static final long MAX_SAMPLE_AGE_NANOS = Duration.ofSeconds(10).toNanos();

    /**
     * Time between two observations above which the process was suspended. It observes its clocks
     * at least every 350 ms.
     */
    private static final long MAX_OBSERVATION_INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();

    /** Divergence of both clocks above which the machine may have been suspended. */
    private static final long MAX_DIVERGENCE_NANOS = Duration.ofMillis(20).toNanos();

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final List<Sample> mSamples;
    private final boolean mHasReceipt;
    private final long mOffsetNanos;
    private final long mTimeOfDayOffsetNanos;
    private final long mObservedNanos;
    private final long mNotBeforeNanos;

    private TrueTime(
            List<Sample> samples,
            boolean hasReceipt,
            long offsetNanos,
            long timeOfDayOffsetNanos,
            long observedNanos,
            long notBeforeNanos) {
        mSamples = samples;
        mHasReceipt = hasReceipt;
        mOffsetNanos = offsetNanos;
        mTimeOfDayOffsetNanos = timeOfDayOffsetNanos;
        mObservedNanos = observedNanos;
        mNotBeforeNanos = notBeforeNanos;
    }

    /** Offset of the true time to the monotonic clock according to one receipt. */
    private record Sample(long receivedNanos, long roundTripNanos, long offsetNanos) {}

    /**
     * Returns the time of a process that has received no receipt, which is its time of day.
     *
     * @param nanos monotonic time
     * @param timeOfDayMillis time of day at the same moment, in milliseconds since 1970
     */
    public static TrueTime start(long nanos, long timeOfDayMillis) {
        long offset = offset(timeOfDayMillis, nanos);
        return new TrueTime(List.of(), false, offset, offset, nanos, nanos);
    }

    private static long offset(long millis, long nanos) {
        return millis * NANOS_PER_MILLI - nanos;
    }

    /** Returns the true time at a monotonic time, in milliseconds since 1970. */
    public long millisAt(long nanos) {
        return Math.floorDiv(nanos + mOffsetNanos, NANOS_PER_MILLI);
    }

    /** Returns whether no receipt has arrived since the start or the latest suspension. */
    public boolean needsReceipt() {
        return mSamples.isEmpty();
    }

    /**
     * Returns the time after an observation of both clocks. If the process or the machine may have
     * been suspended since the previous one, the next receipt replaces all earlier ones, and no
     * receipt counts for a report that was sent before: the monotonic clock may have stood still on
     * its way.
     *
     * @param nanos monotonic time
     * @param timeOfDayMillis time of day at the same moment, in milliseconds since 1970
     */
    public TrueTime observed(long nanos, long timeOfDayMillis) {
        long timeOfDayOffset = offset(timeOfDayMillis, nanos);
        boolean suspended =
                nanos - mObservedNanos > MAX_OBSERVATION_INTERVAL_NANOS
                        || Math.abs(timeOfDayOffset - mTimeOfDayOffsetNanos) > MAX_DIVERGENCE_NANOS;
        return new TrueTime(
                suspended ? List.of() : mSamples,
                mHasReceipt,
                mHasReceipt ? mOffsetNanos : timeOfDayOffset,
                timeOfDayOffset,
                nanos,
                suspended ? nanos : mNotBeforeNanos);
    }

    /**
     * Returns the time after a receipt. Its true time is assigned to the middle of the round trip.
     *
     * @param sentNanos monotonic time at which the report was sent
     * @param receivedNanos monotonic time at which the receipt arrived
     * @param trueTimeMillis true time that the receipt states
     */
    public TrueTime withReceipt(long sentNanos, long receivedNanos, long trueTimeMillis) {
        long roundTrip = receivedNanos - sentNanos;
        if (sentNanos - mNotBeforeNanos < 0 || roundTrip < 0) {
            return this;
        }
        List<Sample> samples = new ArrayList<>(mSamples);
        samples.removeIf(s -> receivedNanos - s.receivedNanos() > MAX_SAMPLE_AGE_NANOS);
        samples.add(
                new Sample(
                        receivedNanos,
                        roundTrip,
                        offset(trueTimeMillis, sentNanos + roundTrip / 2)));
        List<Sample> latest =
                List.copyOf(
                        samples.subList(Math.max(0, samples.size() - MAX_SAMPLES), samples.size()));
        long offset =
                Collections.min(latest, Comparator.comparingLong(Sample::roundTripNanos))
                        .offsetNanos();
        return new TrueTime(
                latest, true, offset, mTimeOfDayOffsetNanos, mObservedNanos, mNotBeforeNanos);
    }
}
