package org.crocusturn.standin.measure;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.StreamSupport;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.crocusturn.core.GroupId;
import org.crocusturn.core.operators.GroupRecord;
import org.crocusturn.standin.local.LocalDeployment;

/** Kills or freezes the endpoint of a primary under a load of writes. */
final class FailoverScenario implements Scenario {
    private static final Logger LOG = LogManager.getLogger(FailoverScenario.class);
    private static final Duration REPETITION = Duration.ofSeconds(8);
    private static final Duration CAUSE_AT = Duration.ofSeconds(3);
    private static final Duration RECOVERY = Duration.ofSeconds(40);
    private static final double SHARE = 0.7;
    private static final double NANOS_PER_SECOND = 1e9;

    /** Is what happens to the endpoint. */
    private enum Cause {
        KILLED(1.0),
        FROZEN(3.0);

        private final double mTargetSeconds;

        Cause(double targetSeconds) {
            mTargetSeconds = targetSeconds;
        }
    }

    /** Is what one repetition gave; a gap without an end is infinite. */
    private record Result(
            List<Double> gaps, double before, long lost, long doubled, long falselyNotRun) {}

    @Override
    public String name() {
        return "failover";
    }

    @Override
    public int usualSeconds() {
        return 80;
    }

    @Override
    public List<Figure> measure(Rig rig, MeasureOptions options, Consumer<String> progress) {
        int repetitions = (int) Math.max(1, options.length().dividedBy(REPETITION) / 2);
        List<Figure> figures = new ArrayList<>();
        for (Cause cause : Cause.values()) {
            List<Result> results = new ArrayList<>();
            for (int n = 0; n < repetitions; n++) {
                progress.accept(cause + " " + (n + 1) + " of " + repetitions);
                long seed = options.seed() * 1_000 + cause.ordinal() * 100L + n;
                results.add(repeat(rig, cause, seed));
            }
            figures.addAll(figures(cause, results));
        }
        return figures;
    }

    private static List<Figure> figures(Cause cause, List<Result> results) {
        double[] gaps =
                results.stream().flatMap(r -> r.gaps().stream()).mapToDouble(g -> g).toArray();
        Arrays.sort(gaps);
        double before = results.stream().mapToDouble(Result::before).max().orElse(0);
        String name = cause.name().toLowerCase(java.util.Locale.ROOT);
        String what = "longest interval between writes before the cause";
        return List.of(
                Figure.of(
                        name + ", gaps measured in " + results.size() + " repetitions",
                        gaps.length,
                        "groups"),
                Figure.of(name + ", failover gap, median", median(gaps), "s")
                        .withAtMost(cause.mTargetSeconds)
                        .withBaseline(what, before),
                Figure.of(name + ", failover gap, worst", last(gaps), "s")
                        .withAtMost(cause.mTargetSeconds)
                        .withBaseline(what, before),
                Figure.of(name + ", lost records", sum(results, Result::lost), "records")
                        .withAtMost(0),
                Figure.of(name + ", doubled records", sum(results, Result::doubled), "records")
                        .withAtMost(0),
                Figure.of(
                                name + ", writes that ran although \"not run\" was answered",
                                sum(results, Result::falselyNotRun),
                                "records")
                        .withAtMost(0));
    }

    private Result repeat(Rig rig, Cause cause, long seed) {
        awaitWhole(rig);
        int victim = victim(rig);
        String endpoint = rig.deployment().databases().get(victim).record().id().value();
        Set<GroupId> groups =
                rig.state().groups().values().stream()
                        .filter(
                                g ->
                                        g.primary()
                                                .filter(p -> p.value().equals(endpoint))
                                                .isPresent())
                        .map(GroupRecord::id)
                        .collect(Collectors.toSet());
        Load load =
                rig.load(
                        rig.arrivals(seed, Mix.WRITES).poisson(rig.rates(SHARE), REPETITION), true);
        load.awaitElapsed(CAUSE_AT);
        long causeNanos = load.elapsedNanos();
        if (cause == Cause.KILLED) {
            rig.deployment().terminateDatabase(victim);
        } else {
            rig.deployment().databases().get(victim).freeze();
        }
        List<Sample> samples = load.join();
        if (cause == Cause.KILLED) {
            rig.deployment().restartDatabase(victim);
        } else {
            rig.deployment().databases().get(victim).unfreeze();
        }
        return result(rig, samples, groups, causeNanos);
    }

    private static Result result(
            Rig rig, List<Sample> samples, Set<GroupId> groups, long causeNanos) {
        awaitWhole(rig);
        Map<String, GroupId> group =
                rig.rates(1).keySet().stream().collect(Collectors.toMap(w -> w, rig::group));
        List<Double> gaps =
                groups.stream()
                        .filter(group::containsValue)
                        .map(g -> gap(g, times(samples, s -> group.get(s).equals(g)), causeNanos))
                        .toList();
        double before =
                groups.stream()
                        .map(g -> times(samples, s -> group.get(s).equals(g)))
                        .map(t -> Arrays.stream(t).filter(n -> n <= causeNanos).toArray())
                        .map(t -> Gap.longest(t, 0, causeNanos))
                        .filter(OptionalLong::isPresent)
                        .mapToDouble(FailoverScenario::seconds)
                        .max()
                        .orElse(0);
        long first = samples.stream().mapToLong(s -> s.row().session()).min().orElse(0);
        Set<Row> present = new HashSet<>(rows(rig, first));
        long falselyNotRun =
                Samples.count(
                        samples, s -> s.verdict().equals("not_run") && present.contains(s.row()));
        resend(rig, samples);
        List<Row> all = rows(rig, first);
        Set<Row> distinct = new HashSet<>(all);
        return new Result(
                gaps,
                before,
                Samples.count(samples, s -> s.acknowledgedWrite() && !distinct.contains(s.row())),
                all.size() - distinct.size(),
                falselyNotRun);
    }

    /** Logs the gap too, so that it can be found among the lines of the hosts. */
    private static double gap(GroupId group, long[] times, long causeNanos) {
        double seconds = seconds(Gap.longest(times, causeNanos, Long.MAX_VALUE));
        LOG.info("measure: the failover gap of {} was {} s", group, seconds);
        return seconds;
    }

    /** Sends writes of unknown outcome again with the same request id, as a caller would. */
    private static void resend(Rig rig, List<Sample> samples) {
        samples.stream()
                .filter(s -> !s.done() && !s.verdict().equals("not_run"))
                .forEach(
                        s ->
                                rig.callers()
                                        .run(
                                                0,
                                                s.arrival().workspace(),
                                                rig.callers().insert(s.row(), true)));
    }

    private static List<Row> rows(Rig rig, long firstSession) {
        return rig.workspaceByGroup().values().stream()
                .map(
                        w ->
                                rig.runOnPrimary(
                                        w,
                                        "SELECT session, n FROM measured WHERE session >= ?",
                                        firstSession))
                .flatMap(a -> StreamSupport.stream(a.path("rows").spliterator(), false))
                .map((JsonNode r) -> new Row(r.path(0).asLong(), r.path(1).asLong()))
                .toList();
    }

    private static long[] times(
            List<Sample> samples, java.util.function.Predicate<String> workspace) {
        return samples.stream()
                .filter(Sample::acknowledgedWrite)
                .filter(s -> workspace.test(s.arrival().workspace()))
                .mapToLong(Sample::doneNanos)
                .toArray();
    }

    /** Returns the index of the endpoint with the most primaries. */
    private static int victim(Rig rig) {
        Map<String, Long> primaries =
                rig.state().groups().values().stream()
                        .flatMap(g -> g.primary().stream())
                        .collect(Collectors.groupingBy(p -> p.value(), Collectors.counting()));
        String most =
                java.util.Collections.max(primaries.entrySet(), Map.Entry.comparingByValue())
                        .getKey();
        var databases = rig.deployment().databases();
        return IntStream.range(0, databases.size())
                .filter(n -> databases.get(n).record().id().value().equals(most))
                .findFirst()
                .orElseThrow();
    }

    /** Waits until each copy of each group is in the group's term and has no lag. */
    private static void awaitWhole(Rig rig) {
        if (!LocalDeployment.await(RECOVERY, () -> whole(rig))) {
            throw new IllegalStateException("the copies were not complete again: " + copies(rig));
        }
    }

    private static boolean whole(Rig rig) {
        return rig.state().groups().values().stream()
                .allMatch(
                        g ->
                                g.primary().isPresent()
                                        && rig.deployment().databases().stream()
                                                .map(d -> d.status(g.id().database()))
                                                .allMatch(
                                                        c ->
                                                                c.term() == g.term()
                                                                        && c.lagMillis() < 100));
    }

    private static String copies(Rig rig) {
        return rig.state().groups().values().stream()
                .map(
                        g ->
                                g
                                        + " "
                                        + rig.deployment().databases().stream()
                                                .map(d -> d.status(g.id().database()))
                                                .toList())
                .collect(Collectors.joining("; "));
    }

    private static double seconds(OptionalLong nanos) {
        return nanos.isPresent() ? nanos.getAsLong() / NANOS_PER_SECOND : Double.POSITIVE_INFINITY;
    }

    private static double median(double[] sorted) {
        return sorted.length == 0 ? Double.NaN : sorted[(sorted.length - 1) / 2];
    }

    private static double last(double[] sorted) {
        return sorted.length == 0 ? Double.NaN : sorted[sorted.length - 1];
    }

    private static long sum(List<Result> results, java.util.function.ToLongFunction<Result> value) {
        return results.stream().mapToLong(value).sum();
    }
}
