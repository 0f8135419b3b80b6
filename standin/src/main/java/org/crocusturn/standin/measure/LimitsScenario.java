package org.crocusturn.standin.measure;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.crocusturn.core.operators.RateLimit;

/** Checks that no rate limit is exceeded and that no request within its limit is refused. */
final class LimitsScenario implements Scenario {
    private static final double WITHIN_RATE_SHARE = 0.95;
    private static final double ABOVE_RATE_SHARE = 3;
    private static final Duration BURST_PERIOD = Duration.ofSeconds(1);
    private static final List<Duration> WINDOWS =
            List.of(Duration.ofMillis(100), Duration.ofSeconds(1), Duration.ofSeconds(5));

    @Override
    public String name() {
        return "limits";
    }

    @Override
    public int defaultSeconds() {
        return 60;
    }

    @Override
    public List<Figure> measure(
            Testbed testbed, MeasureOptions options, Consumer<String> progress) {
        Duration halfDuration = options.duration().dividedBy(2);
        ArrivalGenerator generator =
                testbed.arrivalGenerator(options.seed(), RequestMix.READ_MOSTLY);
        progress.accept("all workspaces at 95% of their rates in bursts");
        List<Sample> within =
                testbed.load(
                                generator.bursts(
                                        testbed.rates(WITHIN_RATE_SHARE),
                                        halfDuration,
                                        BURST_PERIOD),
                                false)
                        .join();
        progress.accept("one workspace at 3 times its rate");
        Map<String, Double> rates = testbed.rates(WITHIN_RATE_SHARE / 2);
        String noisy = testbed.highestRateWorkspace().id().value();
        rates.put(noisy, testbed.rates(ABOVE_RATE_SHARE).get(noisy));
        List<Sample> above = testbed.load(generator.poisson(rates, halfDuration), false).join();
        return Stream.concat(figuresWithinRates(within), figuresAboveRate(testbed, noisy, above))
                .toList();
    }

    private static Stream<Figure> figuresWithinRates(List<Sample> samples) {
        return Stream.of(
                Figure.of("requests within the rates", samples.size(), "requests"),
                Figure.of(
                                "refusals for the rate within the rates",
                                Samples.count(samples, Sample::rateLimited),
                                "requests")
                        .withMaximum(0),
                Figure.of(
                                "other failures within the rates, "
                                        + Samples.describeFailures(samples),
                                Samples.count(samples, s -> !s.succeeded() && !s.rateLimited()),
                                "requests")
                        .withMaximum(0),
                Figure.of(
                        "p99 within the rates",
                        Latencies.of(samples.stream(), s -> true).p99(),
                        "ms"));
    }

    private static Stream<Figure> figuresAboveRate(
            Testbed testbed, String noisy, List<Sample> samples) {
        RateLimit limit = testbed.highestRateWorkspace().rate();
        List<Sample> noisySamples =
                samples.stream().filter(s -> s.arrival().workspace().equals(noisy)).toList();
        long[] admittedTimes =
                noisySamples.stream()
                        .filter(Sample::succeeded)
                        .mapToLong(Sample::completedNanos)
                        .toArray();
        Stream<Figure> windows =
                WINDOWS.stream()
                        .map(
                                w ->
                                        Figure.of(
                                                        "most admitted of "
                                                                + noisy
                                                                + " in any "
                                                                + w.toMillis()
                                                                + " ms",
                                                        SlidingWindow.maxCount(
                                                                admittedTimes, w.toNanos()),
                                                        "requests")
                                                .withMaximum(
                                                        SlidingWindow.allowedCount(
                                                                limit.perSecond(),
                                                                limit.burst(),
                                                                w.toNanos())));
        List<Sample> others =
                samples.stream().filter(s -> !s.arrival().workspace().equals(noisy)).toList();
        Stream<Figure> refusals =
                Stream.of(
                        Figure.of(
                                        "admitted rate of " + noisy,
                                        admittedTimes.length / durationSeconds(samples),
                                        "requests/s")
                                .withBaseline("its rate", limit.perSecond()),
                        Figure.of(
                                        "failed requests of the others, "
                                                + Samples.describeFailures(others),
                                        Samples.count(others, s -> !s.succeeded()),
                                        "requests")
                                .withMaximum(0)
                                .withBaseline("requests of the others", others.size()));
        return Stream.concat(windows, refusals);
    }

    private static double durationSeconds(List<Sample> samples) {
        return samples.stream().mapToLong(Sample::completedNanos).max().orElse(1) / 1e9;
    }
}
