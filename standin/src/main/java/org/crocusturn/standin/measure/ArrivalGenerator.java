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
 * Generates a reproducible schedule of arrivals: equal arguments yield equal arrivals.
 *
 * @param seed seed of the random number generator
 * @param entryHosts number of entry hosts; each arrival goes to one chosen with equal probability
 * @param mix proportions of the kinds of requests
 */
public record ArrivalGenerator(long seed, int entryHosts, RequestMix mix) {
    private static final double NANOS_PER_SECOND = 1e9;

    /** Validates the number of entry hosts. */
    public ArrivalGenerator {
        if (entryHosts < 1) {
            throw new IllegalArgumentException("entryHosts must be at least 1");
        }
    }

    /** Returns arrivals of an independent Poisson process per workspace, sorted by due time. */
    public List<Arrival> poisson(Map<String, Double> perSecond, Duration duration) {
        return generate(
                perSecond,
                (random, rate) ->
                        LongStream.iterate(
                                nextInterval(random, rate),
                                at -> at < duration.toNanos(),
                                at -> at + nextInterval(random, rate)));
    }

    /** Returns arrivals in one burst at the start of each period, sorted by due time. */
    public List<Arrival> bursts(Map<String, Double> perSecond, Duration duration, Duration period) {
        return generate(
                perSecond,
                (random, rate) ->
                        LongStream.range(0, (long) (rate * duration.toNanos() / NANOS_PER_SECOND))
                                .map(n -> periodIndex(n, rate, period) * period.toNanos()));
    }

    /** Returns the index of the period in which request {@code n} is due at a constant rate. */
    private static long periodIndex(long n, double rate, Duration period) {
        return (long) (n / (rate * period.toNanos() / NANOS_PER_SECOND));
    }

    private List<Arrival> generate(Map<String, Double> perSecond, ArrivalProcess process) {
        SplittableRandom seedRandom = new SplittableRandom(seed);
        return new TreeMap<>(perSecond)
                .entrySet().stream()
                        .flatMap(
                                e ->
                                        workspaceArrivals(
                                                e.getKey(),
                                                e.getValue(),
                                                seedRandom.split(),
                                                process))
                        .sorted(Comparator.comparingLong(Arrival::dueNanos))
                        .toList();
    }

    private Stream<Arrival> workspaceArrivals(
            String workspace, double rate, SplittableRandom random, ArrivalProcess process) {
        SplittableRandom choiceRandom = random.split();
        return process.dueTimes(random, rate)
                .mapToObj(
                        dueNanos ->
                                new Arrival(
                                        dueNanos,
                                        workspace,
                                        choiceRandom.nextInt(entryHosts),
                                        mix.kind(choiceRandom.nextDouble())));
    }

    private static long nextInterval(SplittableRandom random, double rate) {
        return 1 + (long) (-Math.log(1 - random.nextDouble()) / rate * NANOS_PER_SECOND);
    }

    /** Generates the due times of the requests of one workspace. */
    private interface ArrivalProcess {
        LongStream dueTimes(SplittableRandom random, double rate);
    }
}
