package org.crocusturn.standin.database;

import static org.crocusturn.standin.database.StandInCluster.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.crocusturn.core.operators.DatabaseRecord;
import org.crocusturn.core.operators.EndpointRecord;
import org.crocusturn.daemon.endpoints.AnnouncementHandler;
import org.crocusturn.daemon.endpoints.DatabaseClient;
import org.crocusturn.daemon.net.Addresses;
import org.crocusturn.daemon.net.HttpLimits;
import org.crocusturn.daemon.net.HttpServer;
import org.crocusturn.daemon.net.NetThreads;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against endpoints that do not announce themselves, and against endpoints that leave while
 * they are in use.
 */
class AnnouncementDutyTest {
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void announcesAndLeavesWhenUnused(boolean inUse) throws Exception {
        List<EndpointRecord> announcements = new CopyOnWriteArrayList<>();
        try (NetThreads threads = NetThreads.start("test", 2);
                HttpServer control =
                        HttpServer.start(
                                threads,
                                new InetSocketAddress("127.0.0.1", 0),
                                HttpLimits.DEFAULT,
                                AnnouncementHandler.create("s", announcements::add));
                StandInDatabase standIn = standIn(threads, control)) {
            await(() -> announcements.contains(standIn.record()));
            DatabaseClient client = open(threads, standIn);
            Runnable disconnect = client::close;
            if (!inUse) {
                disconnect.run();
            }
            CompletableFuture<Void> leaveCompleted = standIn.leave(Duration.ofMinutes(1));
            await(() -> announcements.contains(standIn.record().withLeaving(true)));
            long countAfterLeave = announcements.size();
            if (inUse) {
                await(() -> announcements.size() > countAfterLeave);
                assertFalse(leaveCompleted.isDone(), "the endpoint left while a session was open");
                disconnect.run();
            }
            leaveCompleted.get(10, TimeUnit.SECONDS);
            assertEquals(0, standIn.sessionCount("visits"));
        }
    }

    private static DatabaseClient open(NetThreads threads, StandInDatabase standIn)
            throws Exception {
        return DatabaseClient.open(
                        threads, 1, standIn.record().address(), "visits", 1, StandInCluster.TIMEOUT)
                .get(10, TimeUnit.SECONDS);
    }

    private static StandInDatabase standIn(NetThreads threads, HttpServer control) {
        return StandInDatabase.start(
                StandInSettings.onLoopback(
                                "db-1",
                                "taftish-db",
                                "abdali",
                                List.of(new DatabaseRecord("visits", 2, 4)))
                        .withControl(List.of(Addresses.format(control.address())), "s"),
                threads);
    }
}
