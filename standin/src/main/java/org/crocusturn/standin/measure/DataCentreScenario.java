package org.crocusturn.standin.measure;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;

/** Drains and restores one data centre after another under load. */
final class DataCentreScenario implements Scenario {
    private static final Duration CYCLE_LENGTH = Duration.ofSeconds(16);
    private static final Duration DRAIN_AT = Duration.ofSeconds(4);
    private static final Duration RESTORE_AT = Duration.ofSeconds(10);
    private static final Duration DRAIN_TARGET = Duration.ofSeconds(3);
    private static final double RATE_SHARE = 0.5;

    /** The samples of one drain and restore cycle, with values derived from them. */
    private record CycleResult(
            List<Sample> samples,
            long servedAfterDrain,
            Latencies beforeDrain,
            Latencies sinceDrain) {}

    @Override
    public String name() {
        return "data-centre";
    }

    @Override
    public int defaultSeconds() {
        return 64;
    }

    @Override
    public List<Figure> measure(
            Testbed testbed, MeasureOptions options, Consumer<String> progress) {
        int cycles = (int) Math.max(1, options.duration().dividedBy(CYCLE_LENGTH));
        var dataCentres = testbed.configuration().dataCentres();
        List<Figure> figures = new ArrayList<>();
        for (int cycle = 0; cycle < cycles; cycle++) {
            String dataCentre = dataCentres.get(cycle % dataCentres.size()).value();
            progress.accept("drain and restore " + dataCentre);
            figures.addAll(
                    figures(
                            dataCentre,
                            runCycle(testbed, dataCentre, options.seed() * cycles + cycle)));
        }
        return figures;
    }

    private static CycleResult runCycle(Testbed testbed, String dataCentre, long seed) {
        Set<String> endpointIds =
                testbed.deployment().databases().stream()
                        .filter(d -> d.record().dataCentre().value().equals(dataCentre))
                        .map(d -> d.record().id().value())
                        .collect(Collectors.toSet());
        Load load =
                testbed.load(
                        testbed.arrivalGenerator(seed, RequestMix.READ_MOSTLY)
                                .poisson(testbed.rates(RATE_SHARE), CYCLE_LENGTH),
                        false);
        load.awaitElapsed(DRAIN_AT);
        testbed.changeDataCentre(dataCentre, "drain");
        long drainedNanos = load.elapsedNanos();
        load.awaitElapsed(RESTORE_AT);
        long restoredNanos = load.elapsedNanos();
        testbed.changeDataCentre(dataCentre, "restore");
        List<Sample> samples = load.join();
        return new CycleResult(
                samples,
                Samples.count(
                        samples,
                        s ->
                                endpointIds.contains(s.endpoint())
                                        && s.arrival().dueNanos()
                                                > drainedNanos + DRAIN_TARGET.toNanos()
                                        && s.completedNanos() < restoredNanos),
                Latencies.of(samples.stream(), s -> s.completedNanos() < drainedNanos),
                Latencies.of(samples.stream(), s -> s.completedNanos() >= drainedNanos));
    }

    private static List<Figure> figures(String dataCentre, CycleResult cycle) {
        return List.of(
                Figure.of(
                                dataCentre
                                        + ", failed requests, "
                                        + Samples.describeFailures(cycle.samples()),
                                Samples.count(cycle.samples(), s -> !s.succeeded()),
                                "requests")
                        .withMaximum(0)
                        .withBaseline("requests sent", cycle.samples().size()),
                Figure.of(
                                dataCentre + ", requests it served more than 3 s after the drain",
                                cycle.servedAfterDrain(),
                                "requests")
                        .withMaximum(0),
                Figure.of(dataCentre + ", p99 from the drain on", cycle.sinceDrain().p99(), "ms")
                        .withBaseline("before the drain", cycle.beforeDrain().p99()),
                Figure.of(
                                dataCentre + ", longest from the drain on",
                                cycle.sinceDrain().max(),
                                "ms")
                        .withBaseline("before the drain", cycle.beforeDrain().max()));
    }
}
