package org.crocusturn.standin.measure;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.crocusturn.core.GroupId;
import org.crocusturn.core.callers.SqlValue;
import org.crocusturn.core.callers.Statement;
import org.crocusturn.core.endpoints.DatabaseCommand;
import org.crocusturn.core.endpoints.DatabaseResult;
import org.crocusturn.core.operators.GroupRecord;
import org.crocusturn.daemon.endpoints.DatabaseClient;
import org.crocusturn.daemon.net.NetThreads;
import org.crocusturn.standin.database.StandInDatabase;

/** Measures the overhead of reads through the leaseholder over reads sent to the database. */
final class OverheadScenario implements Scenario {
    private static final int ROUNDS = 10;
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final double MAX_ADDED_P50_MILLIS = 0.5;
    private static final double MIN_STATEMENTS_PER_SECOND = 20_000;
    private static final double NANOS_PER_SECOND = 1e9;

    /** The results of one round of concurrent closed-loop callers. */
    private record RoundResult(List<Long> latencies, long failures, double perSecond) {}

    @Override
    public String name() {
        return "overhead";
    }

    @Override
    public int defaultSeconds() {
        return 40;
    }

    /** Raises the rates far enough that no request is limited. */
    @Override
    public double defaultRateFactor() {
        return 1_000;
    }

    /** Returns false: at the raised rates the warm-up load would exceed the capacity. */
    @Override
    public boolean needsWarmUp() {
        return false;
    }

    @Override
    public List<Figure> measure(
            Testbed testbed, MeasureOptions options, Consumer<String> progress) {
        String workspace = testbed.highestRateWorkspace().id().value();
        GroupRecord group = testbed.state().groups().get(testbed.groupOf(workspace));
        int slots = testbed.configuration().services().get(0).slots();
        Duration roundDuration = options.duration().dividedBy(ROUNDS * 4);
        try (NetThreads threads = NetThreads.start("measure-direct", 2)) {
            List<DatabaseClient> clients = connect(testbed, threads, group, slots);
            Supplier<CompletableFuture<Boolean>> proxiedRead =
                    proxiedRead(testbed, workspace, group);
            List<RoundResult> direct = new ArrayList<>();
            List<RoundResult> proxied = new ArrayList<>();
            List<RoundResult> directConcurrent = new ArrayList<>();
            List<RoundResult> proxiedConcurrent = new ArrayList<>();
            for (int n = 0; n < ROUNDS; n++) {
                progress.accept("round " + (n + 1) + " of " + ROUNDS);
                direct.add(runRound(List.of(directRead(clients.get(0), group)), roundDuration));
                proxied.add(runRound(List.of(proxiedRead), roundDuration));
                directConcurrent.add(
                        runRound(
                                clients.stream().map(c -> directRead(c, group)).toList(),
                                roundDuration));
                proxiedConcurrent.add(
                        runRound(
                                IntStream.range(0, slots).mapToObj(i -> proxiedRead).toList(),
                                roundDuration));
            }
            clients.forEach(DatabaseClient::close);
            return Stream.concat(
                            latencies(direct, proxied),
                            throughput(slots, directConcurrent, proxiedConcurrent))
                    .toList();
        }
    }

    private static Stream<Figure> latencies(List<RoundResult> direct, List<RoundResult> proxied) {
        Latencies directLatencies = latenciesAfterWarmUp(direct);
        Latencies proxiedLatencies = latenciesAfterWarmUp(proxied);
        return Stream.of(
                Figure.of(
                                "added p50 with one caller",
                                proxiedLatencies.p50() - directLatencies.p50(),
                                "ms")
                        .withMaximum(MAX_ADDED_P50_MILLIS)
                        .withBaseline("p50 of the database protocol", directLatencies.p50()),
                Figure.of(
                                "added p99 with one caller",
                                proxiedLatencies.p99() - directLatencies.p99(),
                                "ms")
                        .withBaseline("p99 of the database protocol", directLatencies.p99()),
                Figure.of("statements with one caller", proxiedLatencies.count(), "statements")
                        .withBaseline("over the database protocol", directLatencies.count()));
    }

    private static Stream<Figure> throughput(
            int slots, List<RoundResult> direct, List<RoundResult> proxied) {
        return Stream.of(
                Figure.of(
                                "statements per second with " + slots + " callers, median",
                                medianAfterWarmUp(proxied),
                                "statements/s")
                        .withMinimum(MIN_STATEMENTS_PER_SECOND)
                        .withBaseline("over the database protocol", medianAfterWarmUp(direct)),
                Figure.of(
                                "failed statements",
                                proxied.stream().mapToLong(RoundResult::failures).sum(),
                                "statements")
                        .withMaximum(0)
                        .withBaseline(
                                "over the database protocol",
                                direct.stream().mapToLong(RoundResult::failures).sum()));
    }

    private static List<DatabaseClient> connect(
            Testbed testbed, NetThreads threads, GroupRecord group, int count) {
        StandInDatabase primary =
                testbed.deployment().databases().stream()
                        .filter(d -> d.record().id().equals(group.primary().orElseThrow()))
                        .findFirst()
                        .orElseThrow();
        // The database refuses a lower epoch than the leaseholder's; a higher one would close the
        // sessions of the leaseholder.
        long epoch = group.lastEpoch();
        GroupId id = group.id();
        return IntStream.range(0, count)
                .mapToObj(
                        n ->
                                DatabaseClient.open(
                                                threads,
                                                n,
                                                primary.record().address(),
                                                id.database(),
                                                epoch,
                                                TIMEOUT)
                                        .join())
                .toList();
    }

    private static Supplier<CompletableFuture<Boolean>> directRead(
            DatabaseClient client, GroupRecord group) {
        DatabaseCommand read =
                new DatabaseCommand.Run(
                        group.term(),
                        Statement.read(StatementClient.SELECT, new SqlValue.IntegerValue(1)));
        return () -> client.run(read, TIMEOUT).thenApply(r -> r instanceof DatabaseResult.Done);
    }

    /** Returns reads of one session through the entry host that holds the lease of the group. */
    private static Supplier<CompletableFuture<Boolean>> proxiedRead(
            Testbed testbed, String workspace, GroupRecord group) {
        int entryHost = testbed.entryHostIndex(group.leaseholder().orElseThrow().host());
        Arrival arrival = new Arrival(0, workspace, entryHost, RequestKind.READ);
        CallerSession session = testbed.client().newSession();
        return () -> {
            CompletableFuture<Boolean> done = new CompletableFuture<>();
            testbed.client()
                    .send(
                            arrival,
                            session,
                            false,
                            a ->
                                    done.complete(
                                            a.filter(x -> x.status() == StatementClient.OK)
                                                    .isPresent()));
            return done;
        };
    }

    private static RoundResult runRound(
            List<Supplier<CompletableFuture<Boolean>>> requests, Duration duration) {
        long start = System.nanoTime();
        long end = start + duration.toNanos();
        List<ClosedLoop> loops = requests.stream().map(c -> new ClosedLoop(c, end)).toList();
        loops.stream().map(ClosedLoop::start).toList().forEach(CompletableFuture::join);
        List<Long> latencies = loops.stream().flatMap(l -> l.latencies().stream()).toList();
        return new RoundResult(
                latencies,
                loops.stream().mapToLong(ClosedLoop::failures).sum(),
                latencies.size() * NANOS_PER_SECOND / (System.nanoTime() - start));
    }

    private static Latencies latenciesAfterWarmUp(List<RoundResult> rounds) {
        // Skips the first quarter of the rounds, in which the JVM still compiles the code.
        return Latencies.of(
                rounds.stream()
                        .skip(ROUNDS / 4)
                        .flatMap(r -> r.latencies().stream())
                        .mapToLong(n -> n));
    }

    private static double medianAfterWarmUp(List<RoundResult> rounds) {
        double[] sorted =
                rounds.stream()
                        .skip(ROUNDS / 4)
                        .mapToDouble(RoundResult::perSecond)
                        .sorted()
                        .toArray();
        return sorted[sorted.length / 2];
    }
}
