package org.crocusturn.standin.measure;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;

/** Takes data centres out of service and restores them under load, one after the other. */
final class DataCentreScenario implements Scenario {
    private static final Duration CYCLE = Duration.ofSeconds(16);
    private static final Duration DRAIN_AT = Duration.ofSeconds(4);
    private static final Duration RESTORE_AT = Duration.ofSeconds(10);
    private static final Duration LEAVE_TARGET = Duration.ofSeconds(3);
    private static final double SHARE = 0.5;

    /** Is what one cycle gave. */
    private record Cycle(List<Sample> samples, long late, Latencies before, Latencies during) {}

    @Override
    public String name() {
        return "data-centre";
    }

    @Override
    public int usualSeconds() {
        return 64;
    }

    @Override
    public List<Figure> measure(Rig rig, MeasureOptions options, Consumer<String> progress) {
        int cycles = (int) Math.max(1, options.length().dividedBy(CYCLE));
        var centres = rig.configuration().dataCentres();
        List<Figure> figures = new ArrayList<>();
        for (int n = 0; n < cycles; n++) {
            String centre = centres.get(n % centres.size()).value();
            progress.accept("drain and restore " + centre);
            figures.addAll(figures(centre, cycle(rig, centre, options.seed() * cycles + n)));
        }
        return figures;
    }

    private static Cycle cycle(Rig rig, String centre, long seed) {
        Set<String> endpoints =
                rig.deployment().databases().stream()
                        .filter(d -> d.record().dataCentre().value().equals(centre))
                        .map(d -> d.record().id().value())
                        .collect(Collectors.toSet());
        Load load = rig.load(rig.arrivals(seed, Mix.USUAL).poisson(rig.rates(SHARE), CYCLE), false);
        load.awaitElapsed(DRAIN_AT);
        rig.turn(centre, "drain");
        long drained = load.elapsedNanos();
        load.awaitElapsed(RESTORE_AT);
        long restored = load.elapsedNanos();
        rig.turn(centre, "restore");
        List<Sample> samples = load.join();
        return new Cycle(
                samples,
                Samples.count(
                        samples,
                        s ->
                                endpoints.contains(s.endpoint())
                                        && s.arrival().atNanos() > drained + LEAVE_TARGET.toNanos()
                                        && s.doneNanos() < restored),
                Latencies.of(samples.stream(), s -> s.doneNanos() < drained),
                Latencies.of(samples.stream(), s -> s.doneNanos() >= drained));
    }

    private static List<Figure> figures(String centre, Cycle cycle) {
        return List.of(
                Figure.of(
                                centre + ", failed requests, " + Samples.failures(cycle.samples()),
                                Samples.count(cycle.samples(), s -> !s.done()),
                                "requests")
                        .withAtMost(0)
                        .withBaseline("requests sent", cycle.samples().size()),
                Figure.of(
                                centre + ", requests it served more than 3 s after the drain",
                                cycle.late(),
                                "requests")
                        .withAtMost(0),
                Figure.of(centre + ", p99 from the drain on", cycle.during().p99(), "ms")
                        .withBaseline("before the drain", cycle.before().p99()),
                Figure.of(centre + ", longest from the drain on", cycle.during().max(), "ms")
                        .withBaseline("before the drain", cycle.before().max()));
    }
}
