package org.crocusturn.daemon.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.crocusturn.core.ring.Duty;
import org.crocusturn.daemon.net.HttpClientConnection;
import org.crocusturn.daemon.net.HttpLimits;
import org.crocusturn.daemon.net.HttpRequest;
import org.crocusturn.daemon.net.HttpResponse;
import org.crocusturn.daemon.net.HttpServer;
import org.crocusturn.daemon.net.NetThreads;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a starting or stopping process that reports itself as ready. */
class HealthRoutesTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    @ParameterizedTest
    @CsvSource({
        "/health/live, STARTING, 200",
        "/health/ready, STARTING, 503",
        "/health/ready, SERVING, 200",
        "/health/ready, LEAVING, 503",
        "/health/live, LEAVING, 200",
        "/other, SERVING, 404"
    })
    void answersAccordingToPhase(String path, String phase, int status) throws Exception {
        Duty<LifecycleEvent> duty =
                Duty.start(
                        "lifecycle",
                        16,
                        LifecycleDuty.create(
                                Duration.ofMinutes(1), Duration.ofMinutes(1), Set.of(), next -> {}),
                        e -> {
                            throw e;
                        });
        try (NetThreads threads = NetThreads.start("test", 1);
                HttpServer server = serve(threads, duty);
                HttpClientConnection client =
                        HttpClientConnection.connect(threads, server.address(), TIMEOUT)
                                .get(10, TimeUnit.SECONDS)) {
            if (!phase.equals("STARTING")) {
                duty.offer(new LifecycleEvent.StateReceived());
            }
            if (phase.equals("LEAVING")) {
                duty.offer(new LifecycleEvent.StopRequested());
            }
            HttpResponse response =
                    client.send(HttpRequest.of("GET", path), TIMEOUT).get(10, TimeUnit.SECONDS);
            assertEquals(status, response.status());
        } finally {
            duty.stop(TIMEOUT);
        }
    }

    private static HttpServer serve(NetThreads threads, Duty<LifecycleEvent> duty) {
        return HttpServer.start(
                threads,
                new InetSocketAddress("127.0.0.1", 0),
                HttpLimits.DEFAULT,
                HealthRoutes.create(
                        duty, exchange -> exchange.respond(HttpResponse.json(404, new byte[0]))));
    }
}
