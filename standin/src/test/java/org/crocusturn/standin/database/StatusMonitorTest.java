package org.crocusturn.standin.database;

import static org.crocusturn.standin.database.StandInCluster.assertDone;
import static org.crocusturn.standin.database.StandInCluster.await;
import static org.crocusturn.standin.database.StandInCluster.write;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.handler.codec.http.QueryStringDecoder;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Predicate;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.endpoints.EndpointObservation;
import org.crocusturn.daemon.endpoints.DatabaseClient;
import org.crocusturn.daemon.endpoints.StatusMonitor;
import org.crocusturn.daemon.net.Addresses;
import org.crocusturn.daemon.net.HttpExchange;
import org.crocusturn.daemon.net.HttpLimits;
import org.crocusturn.daemon.net.HttpResponse;
import org.crocusturn.daemon.net.HttpServer;
import org.crocusturn.daemon.net.Json;
import org.crocusturn.daemon.net.NetThreads;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against endpoint failures that are reported late, wrongly or not at all. */
class StatusMonitorTest {
    private static final Duration SILENCE_TIMEOUT = Duration.ofMillis(300);

    private final List<EndpointObservation> mObservations = new CopyOnWriteArrayList<>();

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void reportsFailureAndRecovery(boolean refused) throws Exception {
        try (StandInCluster cluster = new StandInCluster(2, Behaviour.NORMAL);
                StatusMonitor monitor = monitor(cluster)) {
            StandInDatabase failing = cluster.standIn(0);
            EndpointId id = failing.record().id();
            watch(monitor, failing);
            watch(monitor, cluster.standIn(1));
            await(() -> mObservations.size() >= 2);
            stopAnswering(failing, refused);
            await(() -> hasObservation(id, isFailure(refused)));
            if (!refused) {
                mObservations.clear();
                failing.changeBehaviour(b -> b.withStatusSilent(false));
                await(
                        () ->
                                hasObservation(
                                        id, EndpointObservation.StatusReceived.class::isInstance));
            }
            EndpointId other = cluster.standIn(1).record().id();
            assertTrue(
                    mObservations.stream()
                            .filter(o -> o.endpoint().equals(other))
                            .allMatch(EndpointObservation.StatusReceived.class::isInstance),
                    "a failure of the healthy endpoint was reported");
        }
    }

    /**
     * Guards against an idle endpoint that is considered silent, and against polls that do not wait
     * for a new version.
     */
    @ParameterizedTest
    @ValueSource(longs = {300, 900})
    void usesLongPollsShorterThanSilenceTimeout(long silentMillis) throws Exception {
        List<HttpExchange> polls = new CopyOnWriteArrayList<>();
        try (NetThreads threads = NetThreads.start("test", 1);
                HttpServer server =
                        HttpServer.start(
                                threads,
                                new InetSocketAddress("127.0.0.1", 0),
                                HttpLimits.DEFAULT,
                                polls::add);
                StatusMonitor monitor =
                        StatusMonitor.start(
                                threads,
                                Duration.ofMillis(silentMillis),
                                Duration.ofMillis(1),
                                mObservations::add)) {
            monitor.watch(EndpointId.of("db"), Addresses.format(server.address()));
            await(() -> polls.size() == 1);
            String wait = "&wait=" + silentMillis / 3;
            String first = requestId(polls.get(0));
            assertEquals(
                    "/v1/status?since=-1" + wait + "&request=" + first,
                    polls.get(0).request().path());
            polls.get(0)
                    .respond(
                            HttpResponse.json(
                                    200,
                                    Json.write(
                                            Json.object()
                                                    .put("request", first)
                                                    .put("version", 7)
                                                    .set("copies", Json.object().arrayNode()))));
            await(() -> polls.size() == 2);
            String second = requestId(polls.get(1));
            assertNotEquals(first, second);
            assertEquals(
                    "/v1/status?since=7" + wait + "&request=" + second,
                    polls.get(1).request().path());
            assertInstanceOf(EndpointObservation.StatusReceived.class, mObservations.get(0));
            await(
                    () ->
                            hasObservation(
                                    EndpointId.of("db"),
                                    EndpointObservation.TimedOut.class::isInstance));
        }
    }

    /**
     * Guards against positions that are reported only at the end of a poll, and against reports
     * after an endpoint is no longer watched.
     */
    @Test
    void reportsPositionsUntilUnwatched() throws Exception {
        try (StandInCluster cluster = StandInCluster.withPrimary(1, Behaviour.NORMAL);
                StatusMonitor monitor = monitor(cluster);
                DatabaseClient client = cluster.open(0, 1)) {
            EndpointId id = cluster.standIn(0).record().id();
            watch(monitor, cluster.standIn(0));
            await(() -> hasObservation(id, o -> logIndex(o) == 1));
            assertDone(cluster.run(client, write(1, "INSERT INTO t VALUES (1, 1)")));
            await(() -> hasObservation(id, o -> logIndex(o) == 2));
            assertTrue(monitor.unwatch(id));
            watch(monitor, cluster.standIn(0));
            assertTrue(monitor.unwatch(id));
            long startNanos = System.nanoTime();
            await(() -> System.nanoTime() - startNanos > 2 * SILENCE_TIMEOUT.toNanos());
            int before = mObservations.size();
            assertDone(cluster.run(client, write(1, "INSERT INTO t VALUES (2, 1)")));
            await(() -> System.nanoTime() - startNanos > 4 * SILENCE_TIMEOUT.toNanos());
            assertEquals(before, mObservations.size());
        }
    }

    private static String requestId(HttpExchange poll) {
        return new QueryStringDecoder(poll.request().path()).parameters().get("request").get(0);
    }

    private StatusMonitor monitor(StandInCluster cluster) {
        return StatusMonitor.start(
                cluster.threads(), SILENCE_TIMEOUT, Duration.ofMillis(1), mObservations::add);
    }

    private static void watch(StatusMonitor monitor, StandInDatabase standIn) {
        assertTrue(monitor.watch(standIn.record().id(), standIn.record().statusAddress()));
    }

    private static void stopAnswering(StandInDatabase standIn, boolean refused) {
        if (refused) {
            standIn.close();
        } else {
            standIn.changeBehaviour(b -> b.withStatusSilent(true));
        }
    }

    private static Predicate<EndpointObservation> isFailure(boolean refused) {
        return refused
                ? EndpointObservation.ConnectionRefused.class::isInstance
                : EndpointObservation.TimedOut.class::isInstance;
    }

    private boolean hasObservation(EndpointId endpoint, Predicate<EndpointObservation> condition) {
        return mObservations.stream()
                .anyMatch(o -> o.endpoint().equals(endpoint) && condition.test(o));
    }

    private static long logIndex(EndpointObservation observation) {
        return observation instanceof EndpointObservation.StatusReceived seen
                ? seen.copies().stream()
                        .filter(c -> c.database().equals(StandInCluster.DATABASE))
                        .mapToLong(c -> c.position().index())
                        .sum()
                : -1;
    }
}
