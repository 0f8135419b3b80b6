package org.crocusturn.standin.measure;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.crocusturn.core.operators.RateLimit;

/** Checks that rates are neither exceeded nor enforced too early. */
final class LimitsScenario implements Scenario {
    private static final double WITHIN = 0.95;
    private static final double ABOVE = 3;
    private static final Duration PERIOD = Duration.ofSeconds(1);
    private static final List<Duration> WINDOWS =
            List.of(Duration.ofMillis(100), Duration.ofSeconds(1), Duration.ofSeconds(5));

    @Override
    public String name() {
        return "limits";
    }

    @Override
    public int usualSeconds() {
        return 60;
    }

    @Override
    public List<Figure> measure(Rig rig, MeasureOptions options, Consumer<String> progress) {
        Duration half = options.length().dividedBy(2);
        ArrivalPlan plan = rig.arrivals(options.seed(), Mix.USUAL);
        progress.accept("all workspaces at 95% of their rates in bursts");
        List<Sample> within = rig.load(plan.bursts(rig.rates(WITHIN), half, PERIOD), false).join();
        progress.accept("one workspace at 3 times its rate");
        Map<String, Double> rates = rig.rates(WITHIN / 2);
        String loud = rig.largest().id().value();
        rates.put(loud, rig.rates(ABOVE).get(loud));
        List<Sample> above = rig.load(plan.poisson(rates, half), false).join();
        return Stream.concat(within(within), above(rig, loud, above)).toList();
    }

    private static Stream<Figure> within(List<Sample> samples) {
        return Stream.of(
                Figure.of("requests within the rates", samples.size(), "requests"),
                Figure.of(
                                "refusals for the rate within the rates",
                                Samples.count(samples, Sample::refusedForRate),
                                "requests")
                        .withAtMost(0),
                Figure.of(
                                "other failures within the rates, " + Samples.failures(samples),
                                Samples.count(samples, s -> !s.done() && !s.refusedForRate()),
                                "requests")
                        .withAtMost(0),
                Figure.of(
                        "p99 within the rates",
                        Latencies.of(samples.stream(), s -> true).p99(),
                        "ms"));
    }

    private static Stream<Figure> above(Rig rig, String loud, List<Sample> samples) {
        RateLimit limit = rig.largest().rate();
        List<Sample> own =
                samples.stream().filter(s -> s.arrival().workspace().equals(loud)).toList();
        long[] admitted = own.stream().filter(Sample::done).mapToLong(Sample::doneNanos).toArray();
        Stream<Figure> windows =
                WINDOWS.stream()
                        .map(
                                w ->
                                        Figure.of(
                                                        "most admitted of "
                                                                + loud
                                                                + " in any "
                                                                + w.toMillis()
                                                                + " ms",
                                                        WindowCheck.most(admitted, w.toNanos()),
                                                        "requests")
                                                .withAtMost(
                                                        WindowCheck.allowed(
                                                                limit.perSecond(),
                                                                limit.burst(),
                                                                w.toNanos())));
        List<Sample> others =
                samples.stream().filter(s -> !s.arrival().workspace().equals(loud)).toList();
        Stream<Figure> refusals =
                Stream.of(
                        Figure.of(
                                        "admitted rate of " + loud,
                                        admitted.length / seconds(samples),
                                        "requests/s")
                                .withBaseline("its rate", limit.perSecond()),
                        Figure.of(
                                        "failed requests of the others, "
                                                + Samples.failures(others),
                                        Samples.count(others, s -> !s.done()),
                                        "requests")
                                .withAtMost(0)
                                .withBaseline("requests of the others", others.size()));
        return Stream.concat(windows, refusals);
    }

    private static double seconds(List<Sample> samples) {
        return samples.stream().mapToLong(Sample::doneNanos).max().orElse(1) / 1e9;
    }
}
