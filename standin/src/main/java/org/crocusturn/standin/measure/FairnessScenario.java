package org.crocusturn.standin.measure;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.Stream;

/** Lets one workspace send 5 times its rate while the others send half of theirs. */
final class FairnessScenario implements Scenario {
    private static final int PHASES = 4;
    private static final double LOUD = 5;
    private static final double QUIET = 0.5;
    private static final double MOST_RATIO = 1.5;

    /** A p99 of fewer samples is decided by one or two of them. */
    private static final long LEAST_SAMPLES = 200;

    @Override
    public String name() {
        return "fairness";
    }

    @Override
    public int usualSeconds() {
        return 60;
    }

    @Override
    public List<Figure> measure(Rig rig, MeasureOptions options, Consumer<String> progress) {
        String loud = rig.largest().id().value();
        List<Sample> quietly = new ArrayList<>();
        List<Sample> loudly = new ArrayList<>();
        for (int n = 0; n < PHASES; n++) {
            boolean isLoud = n % 2 == 1;
            progress.accept((isLoud ? "loud" : "quiet") + " phase " + (n / 2 + 1));
            (isLoud ? loudly : quietly)
                    .addAll(
                            phase(
                                    rig,
                                    options.seed() * PHASES + n,
                                    options.length().dividedBy(PHASES),
                                    isLoud ? Map.of(loud, LOUD) : Map.of()));
        }
        return figures(rig, loud, quietly, loudly);
    }

    private static List<Sample> phase(
            Rig rig, long seed, Duration length, Map<String, Double> shares) {
        Map<String, Double> rates = rig.rates(QUIET);
        shares.forEach((w, share) -> rates.put(w, rig.rates(share).get(w)));
        return rig.load(rig.arrivals(seed, Mix.USUAL).poisson(rates, length), false).join();
    }

    private static List<Figure> figures(
            Rig rig, String loud, List<Sample> quietly, List<Sample> loudly) {
        List<Sample> others = without(loudly, loud);
        List<Sample> othersQuietly = without(quietly, loud);
        Latencies quiet = Latencies.of(othersQuietly.stream(), s -> true);
        Latencies busy = Latencies.of(others.stream(), s -> true);
        Stream<Figure> totals =
                Stream.of(
                        Figure.of("requests of the others", others.size(), "requests"),
                        Figure.of(
                                        "refusals of the others for their rate",
                                        Samples.count(others, Sample::refusedForRate),
                                        "requests")
                                .withAtMost(0)
                                .withBaseline(
                                        "quiet phases",
                                        Samples.count(othersQuietly, Sample::refusedForRate)),
                        Figure.of(
                                        "other failures of the others, " + Samples.failures(others),
                                        Samples.count(
                                                others, s -> !s.done() && !s.refusedForRate()),
                                        "requests")
                                .withAtMost(0)
                                .withBaseline(
                                        "quiet phases",
                                        Samples.count(
                                                othersQuietly,
                                                s -> !s.done() && !s.refusedForRate())),
                        ratio("p99 of the others to quiet", busy, quiet),
                        Figure.of("p99 of the others", busy.p99(), "ms")
                                .withBaseline("quiet phases", quiet.p99()),
                        Figure.of(
                                "share of requests of " + loud + " that were refused",
                                share(loudly, loud),
                                ""));
        return Stream.concat(totals, byWorkspace(rig, loud, quietly, loudly)).toList();
    }

    private static Stream<Figure> byWorkspace(
            Rig rig, String loud, List<Sample> quietly, List<Sample> loudly) {
        return rig.rates(1).keySet().stream()
                .filter(w -> !w.equals(loud))
                .flatMap(
                        w -> {
                            Latencies quiet = of(quietly, w);
                            Latencies busy = of(loudly, w);
                            return quiet.count() < LEAST_SAMPLES || busy.count() < LEAST_SAMPLES
                                    ? Stream.of(
                                            Figure.of(
                                                            "p99 of " + w + ", few samples",
                                                            busy.p99(),
                                                            "ms")
                                                    .withBaseline("quiet phases", quiet.p99()))
                                    : Stream.of(ratio("p99 of " + w + " to quiet", busy, quiet));
                        });
    }

    private static Figure ratio(String measure, Latencies busy, Latencies quiet) {
        return Figure.of(measure, busy.p99() / quiet.p99(), "times")
                .withAtMost(MOST_RATIO)
                .withBaseline("p99 of the quiet phases in ms", quiet.p99());
    }

    private static Latencies of(List<Sample> samples, String workspace) {
        return Latencies.of(samples.stream(), s -> s.arrival().workspace().equals(workspace));
    }

    private static List<Sample> without(List<Sample> samples, String workspace) {
        return samples.stream().filter(s -> !s.arrival().workspace().equals(workspace)).toList();
    }

    private static double share(List<Sample> samples, String workspace) {
        List<Sample> own =
                samples.stream().filter(s -> s.arrival().workspace().equals(workspace)).toList();
        return (double) Samples.count(own, Sample::refusedForRate) / own.size();
    }
}
