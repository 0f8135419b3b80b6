package org.crocusturn.standin.measure;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.stream.LongStream;
import java.util.stream.Stream;

/**
 * Generates arrivals from a seed; the same arguments give the same arrivals.
 *
 * @param seed seed of the random numbers
 * @param entries number of entry hosts, which are chosen evenly
 * @param mix kinds of the requests
 */
public record ArrivalPlan(long seed, int entries, Mix mix) {
    private static final double NANOS_PER_SECOND = 1e9;

    /** Checks the number of entry hosts. */
    public ArrivalPlan {
        if (entries < 1) {
            throw new IllegalArgumentException("there must be at least one entry host");
        }
    }

    /** Returns independent arrivals (a Poisson process) for each workspace, sorted by time. */
    public List<Arrival> poisson(Map<String, Double> perSecond, Duration length) {
        return merge(
                perSecond,
                (random, rate) ->
                        LongStream.iterate(
                                gap(random, rate),
                                at -> at < length.toNanos(),
                                at -> at + gap(random, rate)));
    }

    /** Returns arrivals that come all at once for each period, sorted by time. */
    public List<Arrival> bursts(Map<String, Double> perSecond, Duration length, Duration period) {
        return merge(
                perSecond,
                (random, rate) ->
                        LongStream.range(0, (long) (rate * length.toNanos() / NANOS_PER_SECOND))
                                .map(n -> periodOf(n, rate, period) * period.toNanos()));
    }

    /** Returns the last period that starts before request {@code n} is due at an even rate. */
    private static long periodOf(long n, double rate, Duration period) {
        return (long) (n / (rate * period.toNanos() / NANOS_PER_SECOND));
    }

    private List<Arrival> merge(Map<String, Double> perSecond, Times times) {
        SplittableRandom seeds = new SplittableRandom(seed);
        return new TreeMap<>(perSecond)
                .entrySet().stream()
                        .flatMap(e -> stream(e.getKey(), e.getValue(), seeds.split(), times))
                        .sorted(Comparator.comparingLong(Arrival::atNanos))
                        .toList();
    }

    private Stream<Arrival> stream(
            String workspace, double rate, SplittableRandom random, Times times) {
        SplittableRandom choices = random.split();
        return times.of(random, rate)
                .mapToObj(
                        at ->
                                new Arrival(
                                        at,
                                        workspace,
                                        choices.nextInt(entries),
                                        mix.kind(choices.nextDouble())));
    }

    private static long gap(SplittableRandom random, double rate) {
        return 1 + (long) (-Math.log(1 - random.nextDouble()) / rate * NANOS_PER_SECOND);
    }

    /** Generates the times of one workspace. */
    private interface Times {
        LongStream of(SplittableRandom random, double rate);
    }
}
