package org.crocusturn.core.controlhosts;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import org.crocusturn.core.HostId;
import org.crocusturn.core.PersistentMap;

/**
 * Estimates the true time from the times of day of many hosts.
 *
 * <p>Up to 30% of the clocks are wrong by seconds and jump back later. The median of the offsets
 * between time of day and monotonic time stays within the spread of the correct ones.
 *
 * <p>Monotonic times are those of {@link System#nanoTime}. Immutable.
 *
 * @param sinceNanos time from which samples are used
 * @param offsets latest sample of each host, this one included
 */
public record ClockEstimate(long sinceNanos, PersistentMap<HostId, Sample> offsets) {
    /** Time in which most hosts report once, so that a median has enough samples. */
    static final long SETTLING_NANOS = Duration.ofMillis(1_200).toNanos();

    /** Age at which a sample is no longer used; hosts are sampled once a second. */
    static final long MAX_SAMPLE_AGE_NANOS = Duration.ofSeconds(3).toNanos();

    /** Change of the own offset that shows a step or a suspension; slewing stays far below it. */
    static final long MAX_DIVERGENCE_NANOS = Duration.ofMillis(20).toNanos();

    /**
     * Time without a reading of the own clock that shows a suspension. What other hosts sent
     * meanwhile arrives late and has a wrong offset.
     */
    static final long MAX_READING_GAP_NANOS = Duration.ofMillis(250).toNanos();

    private static final long NANOS_PER_MILLI = 1_000_000;

    /** Rejects a null map. */
    public ClockEstimate {
        Objects.requireNonNull(offsets, "offsets");
    }

    /**
     * Offset of the time of day of a host.
     *
     * @param offsetNanos time of day since 1970 less the monotonic time of this host
     * @param takenNanos monotonic time of this host at which the sample arrived
     */
    public record Sample(long offsetNanos, long takenNanos) {}

    /** Returns an estimate without samples. */
    public static ClockEstimate startedAt(long nowNanos) {
        return new ClockEstimate(nowNanos, PersistentMap.empty());
    }

    /** Returns the true time in milliseconds since 1970, if there is an estimate of it. */
    public Optional<Long> trueTimeMillis(long nowNanos) {
        if (nowNanos - sinceNanos < SETTLING_NANOS) {
            return Optional.empty();
        }
        long[] sorted =
                offsets.values()
                        .filter(s -> nowNanos - s.takenNanos() <= MAX_SAMPLE_AGE_NANOS)
                        .mapToLong(Sample::offsetNanos)
                        .sorted()
                        .toArray();
        return sorted.length == 0
                ? Optional.empty()
                : Optional.of(
                        Math.floorDiv(nowNanos + sorted[(sorted.length - 1) / 2], NANOS_PER_MILLI));
    }

    /**
     * Returns the estimate with the time of day of another host.
     *
     * @param host the host
     * @param timeOfDayMillis its time of day in milliseconds since 1970
     * @param takenNanos time at which it arrived; samples from before the start are dropped
     */
    public ClockEstimate withSample(HostId host, long timeOfDayMillis, long takenNanos) {
        if (takenNanos - sinceNanos < 0) {
            return this;
        }
        Sample sample = new Sample(offset(timeOfDayMillis, takenNanos), takenNanos);
        return new ClockEstimate(sinceNanos, offsets.with(host, sample));
    }

    /**
     * Returns the estimate with this host's own time of day, which is read at least every 100 ms.
     * Starts again without samples if this host was suspended or its clocks have diverged.
     */
    public ClockEstimate withOwnTime(HostId self, long timeOfDayMillis, long nowNanos) {
        Sample own = new Sample(offset(timeOfDayMillis, nowNanos), nowNanos);
        boolean usable = offsets.find(self).filter(last -> isBroken(last, own)).isEmpty();
        ClockEstimate base = usable ? this : startedAt(nowNanos);
        return new ClockEstimate(base.sinceNanos, base.offsets.with(self, own));
    }

    private static boolean isBroken(Sample last, Sample next) {
        return Math.abs(next.offsetNanos() - last.offsetNanos()) > MAX_DIVERGENCE_NANOS
                || next.takenNanos() - last.takenNanos() > MAX_READING_GAP_NANOS;
    }

    private static long offset(long timeOfDayMillis, long nanos) {
        return timeOfDayMillis * NANOS_PER_MILLI - nanos;
    }
}
