package org.crocusturn.standin.measure;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.Predicate;

/** Measures which reads replicas serve while they lag by 200 ms. */
final class ReadsScenario implements Scenario {
    private static final long LAG_MILLIS = 200;
    private static final long ELIGIBLE_NANOS = 1_000_000_000;
    private static final double TARGET = 0.95;
    private static final double AGED_TARGET = 0.99;

    @Override
    public String name() {
        return "reads";
    }

    @Override
    public int usualSeconds() {
        return 30;
    }

    @Override
    public long lagMillis(DeploymentTimes times) {
        return LAG_MILLIS;
    }

    @Override
    public List<Figure> measure(Rig rig, MeasureOptions options, Consumer<String> progress) {
        progress.accept("reads and writes with replicas that lag");
        List<Sample> samples =
                rig.load(
                                rig.arrivals(options.seed(), Mix.USUAL)
                                        .poisson(rig.rates(0.5), options.length()),
                                false)
                        .join();
        Predicate<Sample> read = s -> s.done() && s.arrival().kind() == Kind.READ;
        Predicate<Sample> aged = s -> s.done() && s.arrival().kind() == Kind.AGED_READ;
        Predicate<Sample> eligible =
                read.and(Sample::hadToken).and(s -> s.sinceWriteNanos() > ELIGIBLE_NANOS);
        Latencies eligibleTimes = Latencies.of(samples.stream(), eligible);
        Latencies agedTimes = Latencies.of(samples.stream(), aged);
        return List.of(
                share("eligible reads that replicas served", samples, eligible)
                        .withAtLeast(TARGET)
                        .withBaseline("all reads without an age", share(samples, read)),
                Figure.of("eligible reads", eligibleTimes.count(), "requests"),
                Figure.of("eligible reads, p50", eligibleTimes.p50(), "ms"),
                Figure.of("eligible reads, p99", eligibleTimes.p99(), "ms"),
                share("reads with an age of 5 s that replicas served", samples, aged)
                        .withAtLeast(AGED_TARGET),
                Figure.of("reads with an age of 5 s", agedTimes.count(), "requests"),
                Figure.of("reads with an age of 5 s, p50", agedTimes.p50(), "ms"),
                Figure.of("reads with an age of 5 s, p99", agedTimes.p99(), "ms"),
                Figure.of(
                                "reads that missed a write of their session",
                                Samples.count(samples, Sample::stale),
                                "requests")
                        .withAtMost(0)
                        .withBaseline("reads checked", Samples.count(samples, read)),
                Figure.of(
                                "failed requests, " + Samples.failures(samples),
                                Samples.count(samples, s -> !s.done()),
                                "requests")
                        .withAtMost(0));
    }

    private static Figure share(String measure, List<Sample> samples, Predicate<Sample> condition) {
        return Figure.of(measure, share(samples, condition), "");
    }

    private static double share(List<Sample> samples, Predicate<Sample> condition) {
        return (double) Samples.count(samples, condition.and(Sample::replica))
                / Samples.count(samples, condition);
    }
}
