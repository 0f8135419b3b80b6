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

/** Kills or freezes the endpoint with the most primaries under a load of writes. */
final class FailoverScenario implements Scenario {
    private static final Logger LOG = LogManager.getLogger(FailoverScenario.class);
    private static final Duration REPETITION_LENGTH = Duration.ofSeconds(8);
    private static final Duration FAULT_AT = Duration.ofSeconds(3);
    private static final Duration RECOVERY_TIMEOUT = Duration.ofSeconds(40);
    private static final double RATE_SHARE = 0.7;
    private static final double NANOS_PER_SECOND = 1e9;

    /** The fault that is injected into the endpoint. */
    private enum Fault {
        KILLED(1.0),
        FROZEN(3.0);

        private final double mMaxGapSeconds;

        Fault(double maxGapSeconds) {
            mMaxGapSeconds = maxGapSeconds;
        }
    }

    /**
     * The results of one repetition.
     *
     * <p>A gap is infinite if no write was acknowledged after the fault.
     */
    private record RepetitionResult(
            List<Double> gaps,
            double longestIntervalBefore,
            long lost,
            long duplicated,
            long ranDespiteNotRun) {}

    @Override
    public String name() {
        return "failover";
    }

    @Override
    public int defaultSeconds() {
        return 80;
    }

    @Override
    public List<Figure> measure(
            Testbed testbed, MeasureOptions options, Consumer<String> progress) {
        int repetitions = (int) Math.max(1, options.duration().dividedBy(REPETITION_LENGTH) / 2);
        List<Figure> figures = new ArrayList<>();
        for (Fault fault : Fault.values()) {
            List<RepetitionResult> results = new ArrayList<>();
            for (int n = 0; n < repetitions; n++) {
                progress.accept(fault + " " + (n + 1) + " of " + repetitions);
                long seed = options.seed() * 1_000 + fault.ordinal() * 100L + n;
                results.add(runRepetition(testbed, fault, seed));
            }
            figures.addAll(figures(fault, results));
        }
        return figures;
    }

    private static List<Figure> figures(Fault fault, List<RepetitionResult> results) {
        double[] gaps =
                results.stream().flatMap(r -> r.gaps().stream()).mapToDouble(g -> g).toArray();
        Arrays.sort(gaps);
        double longestIntervalBefore =
                results.stream()
                        .mapToDouble(RepetitionResult::longestIntervalBefore)
                        .max()
                        .orElse(0);
        String faultName = fault.name().toLowerCase(java.util.Locale.ROOT);
        String baseline = "longest interval between writes before the cause";
        return List.of(
                Figure.of(
                        faultName + ", gaps measured in " + results.size() + " repetitions",
                        gaps.length,
                        "groups"),
                Figure.of(faultName + ", failover gap, median", median(gaps), "s")
                        .withMaximum(fault.mMaxGapSeconds)
                        .withBaseline(baseline, longestIntervalBefore),
                Figure.of(faultName + ", failover gap, worst", worst(gaps), "s")
                        .withMaximum(fault.mMaxGapSeconds)
                        .withBaseline(baseline, longestIntervalBefore),
                Figure.of(
                                faultName + ", lost records",
                                sum(results, RepetitionResult::lost),
                                "records")
                        .withMaximum(0),
                Figure.of(
                                faultName + ", doubled records",
                                sum(results, RepetitionResult::duplicated),
                                "records")
                        .withMaximum(0),
                Figure.of(
                                faultName + ", writes that ran although \"not run\" was answered",
                                sum(results, RepetitionResult::ranDespiteNotRun),
                                "records")
                        .withMaximum(0));
    }

    private RepetitionResult runRepetition(Testbed testbed, Fault fault, long seed) {
        awaitCopiesCurrent(testbed);
        int endpointIndex = indexOfEndpointWithMostPrimaries(testbed);
        String endpoint = testbed.deployment().databases().get(endpointIndex).record().id().value();
        Set<GroupId> groups =
                testbed.state().groups().values().stream()
                        .filter(
                                g ->
                                        g.primary()
                                                .filter(p -> p.value().equals(endpoint))
                                                .isPresent())
                        .map(GroupRecord::id)
                        .collect(Collectors.toSet());
        Load load =
                testbed.load(
                        testbed.arrivalGenerator(seed, RequestMix.WRITES_ONLY)
                                .poisson(testbed.rates(RATE_SHARE), REPETITION_LENGTH),
                        true);
        load.awaitElapsed(FAULT_AT);
        long faultNanos = load.elapsedNanos();
        if (fault == Fault.KILLED) {
            testbed.deployment().terminateDatabase(endpointIndex);
        } else {
            testbed.deployment().databases().get(endpointIndex).freeze();
        }
        List<Sample> samples = load.join();
        if (fault == Fault.KILLED) {
            testbed.deployment().restartDatabase(endpointIndex);
        } else {
            testbed.deployment().databases().get(endpointIndex).unfreeze();
        }
        return evaluate(testbed, samples, groups, faultNanos);
    }

    private static RepetitionResult evaluate(
            Testbed testbed, List<Sample> samples, Set<GroupId> groups, long faultNanos) {
        awaitCopiesCurrent(testbed);
        Map<String, GroupId> groupByWorkspace =
                testbed.rates(1).keySet().stream()
                        .collect(Collectors.toMap(w -> w, testbed::groupOf));
        List<Double> gaps =
                groups.stream()
                        .filter(groupByWorkspace::containsValue)
                        .map(
                                g ->
                                        measureGap(
                                                g,
                                                acknowledgedWriteTimes(
                                                        samples,
                                                        s -> groupByWorkspace.get(s).equals(g)),
                                                faultNanos))
                        .toList();
        double longestIntervalBefore =
                groups.stream()
                        .map(
                                g ->
                                        acknowledgedWriteTimes(
                                                samples, s -> groupByWorkspace.get(s).equals(g)))
                        .map(t -> Arrays.stream(t).filter(n -> n <= faultNanos).toArray())
                        .map(t -> Intervals.longest(t, 0, faultNanos))
                        .filter(OptionalLong::isPresent)
                        .mapToDouble(FailoverScenario::toSeconds)
                        .max()
                        .orElse(0);
        long firstSession = samples.stream().mapToLong(s -> s.row().session()).min().orElse(0);
        Set<RowId> storedRows = new HashSet<>(readRows(testbed, firstSession));
        long ranDespiteNotRun =
                Samples.count(
                        samples,
                        s -> s.verdict().equals("not_run") && storedRows.contains(s.row()));
        resendUnresolvedWrites(testbed, samples);
        List<RowId> rowsAfterResend = readRows(testbed, firstSession);
        Set<RowId> distinctRows = new HashSet<>(rowsAfterResend);
        return new RepetitionResult(
                gaps,
                longestIntervalBefore,
                Samples.count(
                        samples, s -> s.acknowledgedWrite() && !distinctRows.contains(s.row())),
                rowsAfterResend.size() - distinctRows.size(),
                ranDespiteNotRun);
    }

    /**
     * Returns the gap and logs it, so that it can be correlated with the log lines of the hosts.
     */
    private static double measureGap(GroupId group, long[] times, long faultNanos) {
        double seconds = toSeconds(Intervals.longest(times, faultNanos, Long.MAX_VALUE));
        LOG.info("measure: the failover gap of {} was {} s", group, seconds);
        return seconds;
    }

    /** Retries writes of unknown outcome with the same request id, as a caller would. */
    private static void resendUnresolvedWrites(Testbed testbed, List<Sample> samples) {
        samples.stream()
                .filter(s -> !s.succeeded() && !s.verdict().equals("not_run"))
                .forEach(
                        s ->
                                testbed.client()
                                        .sendAndWait(
                                                0,
                                                s.arrival().workspace(),
                                                testbed.client().insertStatement(s.row(), true)));
    }

    private static List<RowId> readRows(Testbed testbed, long firstSession) {
        return testbed.workspaceByGroup().values().stream()
                .map(
                        w ->
                                testbed.runOnPrimary(
                                        w,
                                        "SELECT session, n FROM measured WHERE session >= ?",
                                        firstSession))
                .flatMap(a -> StreamSupport.stream(a.path("rows").spliterator(), false))
                .map((JsonNode r) -> new RowId(r.path(0).asLong(), r.path(1).asLong()))
                .toList();
    }

    private static long[] acknowledgedWriteTimes(
            List<Sample> samples, java.util.function.Predicate<String> workspace) {
        return samples.stream()
                .filter(Sample::acknowledgedWrite)
                .filter(s -> workspace.test(s.arrival().workspace()))
                .mapToLong(Sample::completedNanos)
                .toArray();
    }

    /** Returns the index of the endpoint with the most primaries. */
    private static int indexOfEndpointWithMostPrimaries(Testbed testbed) {
        Map<String, Long> primaryCounts =
                testbed.state().groups().values().stream()
                        .flatMap(g -> g.primary().stream())
                        .collect(Collectors.groupingBy(p -> p.value(), Collectors.counting()));
        String endpoint =
                java.util.Collections.max(primaryCounts.entrySet(), Map.Entry.comparingByValue())
                        .getKey();
        var databases = testbed.deployment().databases();
        return IntStream.range(0, databases.size())
                .filter(n -> databases.get(n).record().id().value().equals(endpoint))
                .findFirst()
                .orElseThrow();
    }

    /** Waits until every copy is in the term of its group and lags by less than 100 ms. */
    private static void awaitCopiesCurrent(Testbed testbed) {
        if (!LocalDeployment.await(RECOVERY_TIMEOUT, () -> copiesCurrent(testbed))) {
            throw new IllegalStateException(
                    "the copies did not recover in time: " + describeCopies(testbed));
        }
    }

    private static boolean copiesCurrent(Testbed testbed) {
        return testbed.state().groups().values().stream()
                .allMatch(
                        g ->
                                g.primary().isPresent()
                                        && testbed.deployment().databases().stream()
                                                .map(d -> d.status(g.id().database()))
                                                .allMatch(
                                                        c ->
                                                                c.term() == g.term()
                                                                        && c.lagMillis() < 100));
    }

    private static String describeCopies(Testbed testbed) {
        return testbed.state().groups().values().stream()
                .map(
                        g ->
                                g
                                        + " "
                                        + testbed.deployment().databases().stream()
                                                .map(d -> d.status(g.id().database()))
                                                .toList())
                .collect(Collectors.joining("; "));
    }

    private static double toSeconds(OptionalLong nanos) {
        return nanos.isPresent() ? nanos.getAsLong() / NANOS_PER_SECOND : Double.POSITIVE_INFINITY;
    }

    private static double median(double[] sorted) {
        return sorted.length == 0 ? Double.NaN : sorted[(sorted.length - 1) / 2];
    }

    private static double worst(double[] sorted) {
        return sorted.length == 0 ? Double.NaN : sorted[sorted.length - 1];
    }

    private static long sum(
            List<RepetitionResult> results,
            java.util.function.ToLongFunction<RepetitionResult> value) {
        return results.stream().mapToLong(value).sum();
    }
}
