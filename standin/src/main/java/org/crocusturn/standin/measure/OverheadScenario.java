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

/** Compares reads through the leaseholder with reads over the stand-in's database protocol. */
final class OverheadScenario implements Scenario {
    private static final int ROUNDS = 10;
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final double TARGET_MILLIS = 0.5;
    private static final double TARGET_PER_SECOND = 20_000;
    private static final double NANOS_PER_SECOND = 1e9;

    /** Is what a number of callers that each wait for their answers got. */
    private record Round(List<Long> latencies, long failed, double perSecond) {}

    @Override
    public String name() {
        return "overhead";
    }

    @Override
    public int usualSeconds() {
        return 40;
    }

    /** Raises the rates so that they limit nothing. */
    @Override
    public double usualFactor() {
        return 1_000;
    }

    /** Sends nothing: the rates are so high that no load at a share of them could be carried. */
    @Override
    public boolean warmsUp() {
        return false;
    }

    @Override
    public List<Figure> measure(Rig rig, MeasureOptions options, Consumer<String> progress) {
        String workspace = rig.largest().id().value();
        GroupRecord group = rig.state().groups().get(rig.group(workspace));
        int slots = rig.configuration().services().get(0).slots();
        Duration length = options.length().dividedBy(ROUNDS * 4);
        try (NetThreads threads = NetThreads.start("measure-direct", 2)) {
            List<DatabaseClient> clients = connect(rig, threads, group, slots);
            Supplier<CompletableFuture<Boolean>> proxy = proxy(rig, workspace, group);
            List<Round> direct = new ArrayList<>();
            List<Round> proxied = new ArrayList<>();
            List<Round> directAll = new ArrayList<>();
            List<Round> proxiedAll = new ArrayList<>();
            for (int n = 0; n < ROUNDS; n++) {
                progress.accept("round " + (n + 1) + " of " + ROUNDS);
                direct.add(round(List.of(direct(clients.get(0), group)), length));
                proxied.add(round(List.of(proxy), length));
                directAll.add(round(clients.stream().map(c -> direct(c, group)).toList(), length));
                proxiedAll.add(
                        round(IntStream.range(0, slots).mapToObj(i -> proxy).toList(), length));
            }
            clients.forEach(DatabaseClient::close);
            return Stream.concat(
                            latencies(direct, proxied), throughput(slots, directAll, proxiedAll))
                    .toList();
        }
    }

    private static Stream<Figure> latencies(List<Round> direct, List<Round> proxied) {
        Latencies without = of(direct);
        Latencies with = of(proxied);
        return Stream.of(
                Figure.of("added p50 with one caller", with.p50() - without.p50(), "ms")
                        .withAtMost(TARGET_MILLIS)
                        .withBaseline("p50 of the database protocol", without.p50()),
                Figure.of("added p99 with one caller", with.p99() - without.p99(), "ms")
                        .withBaseline("p99 of the database protocol", without.p99()),
                Figure.of("statements with one caller", with.count(), "statements")
                        .withBaseline("over the database protocol", without.count()));
    }

    private static Stream<Figure> throughput(int slots, List<Round> direct, List<Round> proxied) {
        return Stream.of(
                Figure.of(
                                "statements per second with " + slots + " callers, median",
                                median(proxied),
                                "statements/s")
                        .withAtLeast(TARGET_PER_SECOND)
                        .withBaseline("over the database protocol", median(direct)),
                Figure.of(
                                "failed statements",
                                proxied.stream().mapToLong(Round::failed).sum(),
                                "statements")
                        .withAtMost(0)
                        .withBaseline(
                                "over the database protocol",
                                direct.stream().mapToLong(Round::failed).sum()));
    }

    private static List<DatabaseClient> connect(
            Rig rig, NetThreads threads, GroupRecord group, int count) {
        StandInDatabase primary =
                rig.deployment().databases().stream()
                        .filter(d -> d.record().id().equals(group.primary().orElseThrow()))
                        .findFirst()
                        .orElseThrow();
        // The epoch of the leaseholder: a lower one is refused, a higher one closes its sessions.
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

    private static Supplier<CompletableFuture<Boolean>> direct(
            DatabaseClient client, GroupRecord group) {
        DatabaseCommand read =
                new DatabaseCommand.Run(
                        group.term(), Statement.read(Callers.SELECT, new SqlValue.IntegerValue(1)));
        return () -> client.run(read, TIMEOUT).thenApply(r -> r instanceof DatabaseResult.Done);
    }

    /** Returns reads of one session over the entry host that holds the lease of the group. */
    private static Supplier<CompletableFuture<Boolean>> proxy(
            Rig rig, String workspace, GroupRecord group) {
        int entry = rig.entryHost(group.leaseholder().orElseThrow().host());
        Arrival arrival = new Arrival(0, workspace, entry, Kind.READ);
        CallerSession session = rig.callers().newSession();
        return () -> {
            CompletableFuture<Boolean> done = new CompletableFuture<>();
            rig.callers()
                    .send(
                            arrival,
                            session,
                            false,
                            a ->
                                    done.complete(
                                            a.filter(x -> x.status() == Callers.OK).isPresent()));
            return done;
        };
    }

    private static Round round(
            List<Supplier<CompletableFuture<Boolean>>> callers, Duration length) {
        long start = System.nanoTime();
        long end = start + length.toNanos();
        List<ClosedLoop> loops = callers.stream().map(c -> new ClosedLoop(c, end)).toList();
        loops.stream().map(ClosedLoop::start).toList().forEach(CompletableFuture::join);
        List<Long> latencies = loops.stream().flatMap(l -> l.latencies().stream()).toList();
        return new Round(
                latencies,
                loops.stream().mapToLong(ClosedLoop::failed).sum(),
                latencies.size() * NANOS_PER_SECOND / (System.nanoTime() - start));
    }

    private static Latencies of(List<Round> rounds) {
        // The first rounds compile the code and are left out.
        return Latencies.of(
                rounds.stream()
                        .skip(ROUNDS / 4)
                        .flatMap(r -> r.latencies().stream())
                        .mapToLong(n -> n));
    }

    private static double median(List<Round> rounds) {
        double[] sorted =
                rounds.stream().skip(ROUNDS / 4).mapToDouble(Round::perSecond).sorted().toArray();
        return sorted[sorted.length / 2];
    }
}
