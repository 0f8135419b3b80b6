package org.crocusturn.standin.measure;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.Predicate;

/** Measures the share of reads that replicas serve while they lag by 200 ms. */
final class ReadsScenario implements Scenario {
    private static final long REPLICA_LAG_MILLIS = 200;
    private static final long MIN_NANOS_SINCE_WRITE = 1_000_000_000;
    private static final double MIN_REPLICA_SHARE = 0.95;
    private static final double MIN_AGED_REPLICA_SHARE = 0.99;

    @Override
    public String name() {
        return "reads";
    }

    @Override
    public int defaultSeconds() {
        return 30;
    }

    @Override
    public long replicaLagMillis(DeploymentTimes times) {
        return REPLICA_LAG_MILLIS;
    }

    @Override
    public List<Figure> measure(
            Testbed testbed, MeasureOptions options, Consumer<String> progress) {
        progress.accept("reads and writes with lagging replicas");
        List<Sample> samples =
                testbed.load(
                                testbed.arrivalGenerator(options.seed(), RequestMix.READ_MOSTLY)
                                        .poisson(testbed.rates(0.5), options.duration()),
                                false)
                        .join();
        Predicate<Sample> read = s -> s.succeeded() && s.arrival().kind() == RequestKind.READ;
        Predicate<Sample> aged = s -> s.succeeded() && s.arrival().kind() == RequestKind.AGED_READ;
        Predicate<Sample> eligible =
                read.and(Sample::hadSessionToken)
                        .and(s -> s.sinceWriteNanos() > MIN_NANOS_SINCE_WRITE);
        Latencies eligibleLatencies = Latencies.of(samples.stream(), eligible);
        Latencies agedLatencies = Latencies.of(samples.stream(), aged);
        return List.of(
                replicaShare("eligible reads that replicas served", samples, eligible)
                        .withMinimum(MIN_REPLICA_SHARE)
                        .withBaseline("all reads without an age", replicaShare(samples, read)),
                Figure.of("eligible reads", eligibleLatencies.count(), "requests"),
                Figure.of("eligible reads, p50", eligibleLatencies.p50(), "ms"),
                Figure.of("eligible reads, p99", eligibleLatencies.p99(), "ms"),
                replicaShare("reads with an age of 5 s that replicas served", samples, aged)
                        .withMinimum(MIN_AGED_REPLICA_SHARE),
                Figure.of("reads with an age of 5 s", agedLatencies.count(), "requests"),
                Figure.of("reads with an age of 5 s, p50", agedLatencies.p50(), "ms"),
                Figure.of("reads with an age of 5 s, p99", agedLatencies.p99(), "ms"),
                Figure.of(
                                "reads that missed a write of their session",
                                Samples.count(samples, Sample::missedOwnWrite),
                                "requests")
                        .withMaximum(0)
                        .withBaseline("reads checked", Samples.count(samples, read)),
                Figure.of(
                                "failed requests, " + Samples.describeFailures(samples),
                                Samples.count(samples, s -> !s.succeeded()),
                                "requests")
                        .withMaximum(0));
    }

    private static Figure replicaShare(
            String name, List<Sample> samples, Predicate<Sample> condition) {
        return Figure.of(name, replicaShare(samples, condition), "");
    }

    private static double replicaShare(List<Sample> samples, Predicate<Sample> condition) {
        return (double) Samples.count(samples, condition.and(Sample::servedByReplica))
                / Samples.count(samples, condition);
    }
}
