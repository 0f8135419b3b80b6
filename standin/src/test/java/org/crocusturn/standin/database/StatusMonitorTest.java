package org.crocusturn.standin.database;

import static org.crocusturn.standin.database.Fleet.await;
import static org.crocusturn.standin.database.Fleet.done;
import static org.crocusturn.standin.database.Fleet.write;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
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
import org.crocusturn.daemon.net.NetThreads;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against failures of endpoints that are seen late, wrongly or not at all. */
class StatusMonitorTest {
    private static final Duration SILENT_AFTER = Duration.ofMillis(300);

    private final List<EndpointObservation> mSeen = new CopyOnWriteArrayList<>();

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void reportsFailureAndReturn(boolean refused) throws Exception {
        try (Fleet fleet = new Fleet(2, Behaviour.PROMPT);
                StatusMonitor monitor = monitor(fleet)) {
            StandInDatabase failing = fleet.standIn(0);
            EndpointId id = failing.record().id();
            watch(monitor, failing);
            watch(monitor, fleet.standIn(1));
            await(() -> mSeen.size() >= 2);
            fail(failing, refused);
            await(() -> has(id, failure(refused)));
            if (!refused) {
                mSeen.clear();
                failing.change(b -> b.withStatusSilent(false));
                await(() -> has(id, EndpointObservation.StatusReceived.class::isInstance));
            }
            EndpointId other = fleet.standIn(1).record().id();
            assertTrue(
                    mSeen.stream()
                            .filter(o -> o.endpoint().equals(other))
                            .allMatch(EndpointObservation.StatusReceived.class::isInstance),
                    "the healthy endpoint was reported");
        }
    }

    /** Guards against an idle endpoint that counts as silent, and against polling without news. */
    @ParameterizedTest
    @ValueSource(longs = {300, 900})
    void pollsAreLongAndEndWithinTheLimit(long silentMillis) throws Exception {
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
                                mSeen::add)) {
            monitor.watch(EndpointId.of("db"), Addresses.format(server.address()));
            await(() -> polls.size() == 1);
            String wait = "&wait=" + silentMillis / 3;
            assertEquals("/v1/status?since=-1" + wait, polls.get(0).request().path());
            polls.get(0)
                    .respond(
                            HttpResponse.json(
                                    200,
                                    "{\"version\":7,\"copies\":[]}"
                                            .getBytes(StandardCharsets.UTF_8)));
            await(() -> polls.size() == 2);
            assertEquals("/v1/status?since=7" + wait, polls.get(1).request().path());
            assertInstanceOf(EndpointObservation.StatusReceived.class, mSeen.get(0));
            await(() -> has(EndpointId.of("db"), EndpointObservation.TimedOut.class::isInstance));
        }
    }

    /** Guards against positions that wait for the next poll, and endpoints watched for ever. */
    @Test
    void reportsPositionsUntilUnwatched() throws Exception {
        try (Fleet fleet = Fleet.withPrimary(1, Behaviour.PROMPT);
                StatusMonitor monitor = monitor(fleet);
                DatabaseClient client = fleet.open(0, 1)) {
            EndpointId id = fleet.standIn(0).record().id();
            watch(monitor, fleet.standIn(0));
            await(() -> has(id, o -> index(o) == 1));
            done(fleet.run(client, write(1, "INSERT INTO t VALUES (1, 1)")));
            await(() -> has(id, o -> index(o) == 2));
            assertTrue(monitor.unwatch(id));
            watch(monitor, fleet.standIn(0));
            assertTrue(monitor.unwatch(id));
            long startNanos = System.nanoTime();
            await(() -> System.nanoTime() - startNanos > 2 * SILENT_AFTER.toNanos());
            int before = mSeen.size();
            done(fleet.run(client, write(1, "INSERT INTO t VALUES (2, 1)")));
            await(() -> System.nanoTime() - startNanos > 4 * SILENT_AFTER.toNanos());
            assertEquals(before, mSeen.size());
        }
    }

    private StatusMonitor monitor(Fleet fleet) {
        return StatusMonitor.start(fleet.threads(), SILENT_AFTER, Duration.ofMillis(1), mSeen::add);
    }

    private static void watch(StatusMonitor monitor, StandInDatabase standIn) {
        assertTrue(monitor.watch(standIn.record().id(), standIn.record().statusAddress()));
    }

    private static void fail(StandInDatabase standIn, boolean refused) {
        if (refused) {
            standIn.close();
        } else {
            standIn.change(b -> b.withStatusSilent(true));
        }
    }

    private static Predicate<EndpointObservation> failure(boolean refused) {
        return refused
                ? EndpointObservation.ConnectionRefused.class::isInstance
                : EndpointObservation.TimedOut.class::isInstance;
    }

    private boolean has(EndpointId endpoint, Predicate<EndpointObservation> wanted) {
        return mSeen.stream().anyMatch(o -> o.endpoint().equals(endpoint) && wanted.test(o));
    }

    private static long index(EndpointObservation observation) {
        return observation instanceof EndpointObservation.StatusReceived seen
                ? seen.copies().stream()
                        .filter(c -> c.database().equals(Fleet.DATABASE))
                        .mapToLong(c -> c.position().index())
                        .sum()
                : -1;
    }
}
