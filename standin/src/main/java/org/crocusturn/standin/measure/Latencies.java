package org.crocusturn.standin.measure;

import java.util.function.Predicate;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.HdrHistogram.Histogram;

/** A distribution of latencies; percentiles are in milliseconds. */
final class Latencies {
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double NANOS_PER_MILLI = 1e6;

    private final Histogram mHistogram = new Histogram(SIGNIFICANT_DIGITS);

    private Latencies() {}

    static Latencies of(LongStream nanos) {
        Latencies latencies = new Latencies();
        nanos.forEach(n -> latencies.mHistogram.recordValue(Math.max(0, n)));
        return latencies;
    }

    /** Returns the latencies of the successful samples that match a condition. */
    static Latencies of(Stream<Sample> samples, Predicate<Sample> condition) {
        return of(
                samples.filter(Sample::succeeded)
                        .filter(condition)
                        .mapToLong(Sample::latencyNanos));
    }

    long count() {
        return mHistogram.getTotalCount();
    }

    double p50() {
        return mHistogram.getValueAtPercentile(50) / NANOS_PER_MILLI;
    }

    double p99() {
        return mHistogram.getValueAtPercentile(99) / NANOS_PER_MILLI;
    }

    double max() {
        return mHistogram.getMaxValue() / NANOS_PER_MILLI;
    }
}
