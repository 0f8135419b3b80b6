package org.crocusturn.standin.measure;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.Stream;

/** Measures how a workspace that sends 5 times its rate affects others at half their rates. */
final class FairnessScenario implements Scenario {
    private static final int PHASES = 4;
    private static final double NOISY_RATE_SHARE = 5;
    private static final double QUIET_RATE_SHARE = 0.5;
    private static final double MAX_P99_RATIO = 1.5;

    /** With fewer samples, one or two of them determine the p99. */
    private static final long MIN_SAMPLES = 200;

    @Override
    public String name() {
        return "fairness";
    }

    @Override
    public int defaultSeconds() {
        return 60;
    }

    @Override
    public List<Figure> measure(
            Testbed testbed, MeasureOptions options, Consumer<String> progress) {
        String noisy = testbed.highestRateWorkspace().id().value();
        List<Sample> quietSamples = new ArrayList<>();
        List<Sample> noisySamples = new ArrayList<>();
        for (int n = 0; n < PHASES; n++) {
            boolean isNoisy = n % 2 == 1;
            progress.accept((isNoisy ? "loud" : "quiet") + " phase " + (n / 2 + 1));
            (isNoisy ? noisySamples : quietSamples)
                    .addAll(
                            runPhase(
                                    testbed,
                                    options.seed() * PHASES + n,
                                    options.duration().dividedBy(PHASES),
                                    isNoisy ? Map.of(noisy, NOISY_RATE_SHARE) : Map.of()));
        }
        return figures(testbed, noisy, quietSamples, noisySamples);
    }

    private static List<Sample> runPhase(
            Testbed testbed, long seed, Duration duration, Map<String, Double> shares) {
        Map<String, Double> rates = testbed.rates(QUIET_RATE_SHARE);
        shares.forEach((w, share) -> rates.put(w, testbed.rates(share).get(w)));
        return testbed.load(
                        testbed.arrivalGenerator(seed, RequestMix.READ_MOSTLY)
                                .poisson(rates, duration),
                        false)
                .join();
    }

    private static List<Figure> figures(
            Testbed testbed, String noisy, List<Sample> quietSamples, List<Sample> noisySamples) {
        List<Sample> others = excluding(noisySamples, noisy);
        List<Sample> othersQuiet = excluding(quietSamples, noisy);
        Latencies quiet = Latencies.of(othersQuiet.stream(), s -> true);
        Latencies underNoise = Latencies.of(others.stream(), s -> true);
        Stream<Figure> totals =
                Stream.of(
                        Figure.of("requests of the others", others.size(), "requests"),
                        Figure.of(
                                        "refusals of the others for their rate",
                                        Samples.count(others, Sample::rateLimited),
                                        "requests")
                                .withMaximum(0)
                                .withBaseline(
                                        "quiet phases",
                                        Samples.count(othersQuiet, Sample::rateLimited)),
                        Figure.of(
                                        "other failures of the others, "
                                                + Samples.describeFailures(others),
                                        Samples.count(
                                                others, s -> !s.succeeded() && !s.rateLimited()),
                                        "requests")
                                .withMaximum(0)
                                .withBaseline(
                                        "quiet phases",
                                        Samples.count(
                                                othersQuiet,
                                                s -> !s.succeeded() && !s.rateLimited())),
                        ratio("p99 of the others to quiet", underNoise, quiet),
                        Figure.of("p99 of the others", underNoise.p99(), "ms")
                                .withBaseline("quiet phases", quiet.p99()),
                        Figure.of(
                                "share of requests of " + noisy + " that were refused",
                                refusedShare(noisySamples, noisy),
                                ""));
        return Stream.concat(totals, byWorkspace(testbed, noisy, quietSamples, noisySamples))
                .toList();
    }

    private static Stream<Figure> byWorkspace(
            Testbed testbed, String noisy, List<Sample> quietSamples, List<Sample> noisySamples) {
        return testbed.rates(1).keySet().stream()
                .filter(w -> !w.equals(noisy))
                .flatMap(
                        w -> {
                            Latencies quiet = latenciesOf(quietSamples, w);
                            Latencies underNoise = latenciesOf(noisySamples, w);
                            return quiet.count() < MIN_SAMPLES || underNoise.count() < MIN_SAMPLES
                                    ? Stream.of(
                                            Figure.of(
                                                            "p99 of " + w + ", few samples",
                                                            underNoise.p99(),
                                                            "ms")
                                                    .withBaseline("quiet phases", quiet.p99()))
                                    : Stream.of(
                                            ratio("p99 of " + w + " to quiet", underNoise, quiet));
                        });
    }

    private static Figure ratio(String name, Latencies underNoise, Latencies quiet) {
        return Figure.of(name, underNoise.p99() / quiet.p99(), "times")
                .withMaximum(MAX_P99_RATIO)
                .withBaseline("p99 of the quiet phases in ms", quiet.p99());
    }

    private static Latencies latenciesOf(List<Sample> samples, String workspace) {
        return Latencies.of(samples.stream(), s -> s.arrival().workspace().equals(workspace));
    }

    private static List<Sample> excluding(List<Sample> samples, String workspace) {
        return samples.stream().filter(s -> !s.arrival().workspace().equals(workspace)).toList();
    }

    private static double refusedShare(List<Sample> samples, String workspace) {
        List<Sample> ownSamples =
                samples.stream().filter(s -> s.arrival().workspace().equals(workspace)).toList();
        return (double) Samples.count(ownSamples, Sample::rateLimited) / ownSamples.size();
    }
}
