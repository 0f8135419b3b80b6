package org.crocusturn.daemon.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.crocusturn.core.ring.ByteBudget;
import org.crocusturn.core.ring.SteadyClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against mismatched responses and against callers that exhaust memory or connections. */
class HttpServerConnectionTest {
    private static final int MAX_BODY = 1_000;
    private static final int MAX_PIPELINED = 4;
    private static final Duration LONG = Duration.ofMinutes(5);
    private static final Duration SHORT = Duration.ofMillis(300);

    private final BlockingQueue<HttpExchange> mExchanges = new LinkedBlockingQueue<>();
    private NetThreads mThreads;
    private HttpServer mServer;

    @BeforeEach
    void start() {
        mThreads = NetThreads.start("test", 1);
        mServer = serve(LONG, LONG, mExchanges::add);
    }

    @AfterEach
    void stop() {
        mServer.close();
        mThreads.close();
    }

    /** Guards against a response that is matched with another request of the connection. */
    @Test
    void respondsInRequestOrder() throws Exception {
        try (RawHttpClient client = new RawHttpClient(mServer.address())) {
            client.send(get("/0") + get("/1") + get("/2") + get("/3"));
            List<HttpExchange> exchanges = take(4);
            Collections.reverse(exchanges);
            exchanges.forEach(HttpServerConnectionTest::echo);
            for (int n = 0; n < 4; n++) {
                assertEquals("200 /" + n, client.read());
            }
        }
    }

    /** Guards against requests of operators that a planned stop cuts off without a response. */
    @ParameterizedTest
    @CsvSource({
        // requests that were read, answered before the stop, answered during it
        "0, 0, 0",
        "1, 1, 0",
        "1, 0, 1",
        "4, 1, 3",
        "4, 0, 4"
    })
    void stopWaitsForResponses(int read, int before, int during) throws Exception {
        try (RawHttpClient client = new RawHttpClient(mServer.address())) {
            client.send(get("/").repeat(read));
            List<HttpExchange> exchanges = take(read);
            exchanges.subList(0, before).forEach(HttpServerConnectionTest::echo);
            for (int n = 0; n < before; n++) {
                assertEquals("200 /", client.read());
            }
            CompletableFuture<Void> stop = CompletableFuture.runAsync(() -> mServer.stop(LONG));
            assertEquals(during > 0, isPending(stop));
            exchanges.subList(before, read).forEach(HttpServerConnectionTest::echo);
            for (int n = 0; n < during; n++) {
                assertEquals("200 /", client.read());
            }
            stop.get(20, TimeUnit.SECONDS);
            assertTrue(client.readToEnd());
        }
    }

    /**
     * Guards against an order that is taken for a new one although it waited on its connection: the
     * handler has to learn since when the request may have been on its way.
     */
    @Test
    void tellsSinceWhenARequestMayHaveBeenSent() throws Exception {
        try (RawHttpClient client = new RawHttpClient(mServer.address())) {
            client.send(get("/0"));
            HttpExchange first = take(1).get(0);
            client.send("GET /1 HTTP/1.1\r\n");
            echo(first);
            assertEquals("200 /0", client.read());
            long beforeEndNanos = SteadyClock.nanoTime();
            client.send("host: a\r\n\r\n");
            HttpExchange second = take(1).get(0);
            assertTrue(second.earliestSentNanos() <= beforeEndNanos);
            echo(second);
            assertEquals("200 /1", client.read());
            client.send(get("/2"));
            HttpExchange third = take(1).get(0);
            assertTrue(third.earliestSentNanos() > beforeEndNanos);
            assertFalse(third.isAbandoned());
        }
    }

    /** Guards against orders that are carried out although their sender has gone. */
    @Test
    void tellsThatTheClientHasGone() throws Exception {
        HttpExchange exchange;
        try (RawHttpClient client = new RawHttpClient(mServer.address())) {
            client.send(get("/"));
            exchange = take(1).get(0);
        }
        long deadlineNanos = System.nanoTime() + LONG.toNanos();
        while (!exchange.isAbandoned() && System.nanoTime() - deadlineNanos < 0) {
            LockSupport.parkNanos(SHORT.toNanos() / 10);
        }
        assertTrue(exchange.isAbandoned());
    }

    private static boolean isPending(CompletableFuture<Void> future) throws Exception {
        try {
            future.get(SHORT.toMillis(), TimeUnit.MILLISECONDS);
            return false;
        } catch (TimeoutException e) {
            return true;
        }
    }

    /** Guards against a single read that dispatches more requests than the pipeline limit. */
    @Test
    void stopsReadingAtPipelineLimit() throws Exception {
        int requests = 1_000;
        AtomicInteger waiting = new AtomicInteger();
        AtomicInteger maxWaiting = new AtomicInteger();
        mServer.close();
        mServer =
                serve(
                        LONG,
                        LONG,
                        exchange -> {
                            maxWaiting.accumulateAndGet(waiting.incrementAndGet(), Math::max);
                            mExchanges.add(exchange);
                        });
        try (RawHttpClient client = new RawHttpClient(mServer.address())) {
            StringBuilder all = new StringBuilder();
            for (int n = 0; n < requests; n++) {
                all.append(get("/" + n));
            }
            client.send(all.toString());
            for (int n = 0; n < requests; n++) {
                HttpExchange exchange = take(1).get(0);
                waiting.decrementAndGet();
                echo(exchange);
                assertEquals("200 /" + n, client.read());
            }
        }
        assertTrue(maxWaiting.get() <= MAX_PIPELINED, "maximum " + maxWaiting.get());
    }

    @ParameterizedTest
    @CsvSource(
            quoteCharacter = '"',
            value = {
                "GET / HTTP/1.1~host: a~authorization: x~authorization: x~~, 400",
                "GET / HTTP/1.1~host: a~Crocusturn-Session: x~crocusturn-session: y~~, 400",
                "GET / HTTP/1.1~host: a~host: a~~, 400",
                "GET / HTTP/1.1~~, 400",
                "GET /~host: a~~, 400",
                "GET / HTTP/2.0~host: a~~, 400",
                "GET / HTTP/1.1~host: a~no colon~~, 400",
                "POST / HTTP/1.1~host: a~content-length: 1~content-length: 2~~ab, 400",
                "POST / HTTP/1.1~host: a~content-length: -1~~, 400",
                "POST / HTTP/1.1~host: a~content-length: 1x~~a, 400",
                "POST / HTTP/1.1~host: a~transfer-encoding: gzip~~a, 400",
                "POST / HTTP/1.1~host: a~transfer-encoding: chunked~~zz~~, 400",
                "POST / HTTP/1.1~host: a~content-length: 1001~~, 413",
                "POST / HTTP/1.1~host: a~content-length: 99999999999~~, 413",
                "POST / HTTP/1.1~host: a~content-length: 9223372036854775807~~, 413",
                "POST / HTTP/1.1~host: a~content-length: 9223372036854775808~~, 400",
                "POST / HTTP/1.1~host: a~content-length: 1e3~~, 400",
                "POST / HTTP/1.1~host: a~content-length: 1.0~~a, 400",
                "POST / HTTP/1.1~host: a~expect: 100-continue~content-length: 1001~~, 413"
            })
    void rejectsMalformedRequests(String request, int status) throws Exception {
        try (RawHttpClient client = new RawHttpClient(mServer.address())) {
            client.send(request.replace("~", "\r\n"));
            String response = client.read();
            String code = status == 413 ? "too_large" : "malformed_request";
            assertTrue(response.startsWith(status + " {\"code\":\"" + code), response);
            assertTrue(response.endsWith("\"verdict\":\"not_run\"}"), response);
            assertTrue(client.readToEnd());
        }
        assertTrue(mExchanges.isEmpty());
    }

    /**
     * Guards against a connection reset that hides the rejection from a caller that still sends.
     */
    @ParameterizedTest
    @ValueSource(strings = {"content-length: 3000000", "transfer-encoding: chunked"})
    void deliversRejectionOfLongBodies(String length) throws Exception {
        try (RawHttpClient client = new RawHttpClient(mServer.address())) {
            client.send("POST / HTTP/1.1\r\nhost: a\r\n" + length + "\r\n\r\n");
            String chunk = "1f4\r\n" + "x".repeat(500) + "\r\n";
            client.send(chunk.repeat(2_000));
            assertTrue(client.read().startsWith("413 "));
        }
    }

    /** Guards against chunked bodies that retain more memory than their size. */
    @Test
    void acceptsBodiesInSmallChunks() throws Exception {
        try (RawHttpClient client = new RawHttpClient(mServer.address())) {
            client.send("POST /x HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n");
            client.send("1\r\ny\r\n".repeat(MAX_BODY) + "0\r\n\r\n");
            HttpExchange exchange = take(1).get(0);
            assertEquals("y".repeat(MAX_BODY), text(exchange.request().body()));
            exchange.releaseRequest();
            exchange.respond(HttpResponse.json(200, new byte[0]));
            assertEquals("200", client.read());
        }
    }

    /** Guards against bodies on many connections that together do not fit in the heap. */
    @ParameterizedTest
    @CsvSource({"false, false", "false, true", "true, false", "true, true"})
    void refusesRequestsThatDoNotFitInTheMemoryForRequests(boolean chunked, boolean released)
            throws Exception {
        ByteBudget budget = ByteBudget.of(4_000);
        mServer.close();
        mServer =
                HttpServer.start(
                        mThreads,
                        new InetSocketAddress("127.0.0.1", 0),
                        new HttpLimits(MAX_BODY, MAX_PIPELINED, LONG, LONG, 3),
                        mExchanges::add,
                        pipeline -> {},
                        budget);
        String body = "y".repeat(MAX_BODY);
        String request =
                "POST /x HTTP/1.1\r\nhost: a\r\n"
                        + (chunked
                                ? "transfer-encoding: chunked\r\n\r\n3e8\r\n"
                                        + body
                                        + "\r\n0\r\n\r\n"
                                : "content-length: " + MAX_BODY + "\r\n\r\n" + body);
        try (RawHttpClient first = new RawHttpClient(mServer.address());
                RawHttpClient second = new RawHttpClient(mServer.address());
                RawHttpClient third = new RawHttpClient(mServer.address())) {
            first.send(request);
            HttpExchange held = take(1).get(0);
            second.send(chunked ? request : request.replace(body, ""));
            String refusal = second.read();
            assertTrue(refusal.startsWith("503 "), refusal);
            assertTrue(refusal.contains("\"verdict\":\"not_run\""), refusal);
            assertTrue(refusal.contains("\"retryAfterMillis\":1000"), refusal);
            if (released) {
                held.releaseRequest();
            } else {
                echo(held);
            }
            third.send(request);
            echo(take(1).get(0));
            assertEquals("200 /x", third.read(), "there is room again");
            assertEquals(0, budget.usedBytes());
        }
    }

    /** Guards against running requests whose response can no longer be sent. */
    @Test
    void ignoresRequestsAfterConnectionClose() throws Exception {
        try (RawHttpClient client = new RawHttpClient(mServer.address())) {
            client.send("GET /0 HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n" + get("/1"));
            echo(take(1).get(0));
            assertEquals("200 /0", client.read());
            assertTrue(client.readToEnd());
            assertTrue(mExchanges.isEmpty());
        }
    }

    /** Guards against dropping the responses of accepted requests while the host stops. */
    @Test
    void answersAcceptedRequestsBeforeClosing() throws Exception {
        try (RawHttpClient client = new RawHttpClient(mServer.address())) {
            client.send(get("/0") + get("/1"));
            List<HttpExchange> exchanges = take(2);
            exchanges.get(0).respond(HttpResponse.json(503, new byte[0]).withClose());
            assertEquals("503", client.read());
            echo(exchanges.get(1));
            assertEquals("200 /1", client.read());
            assertTrue(client.readToEnd());
        }
    }

    /** Guards against an interim response that is taken for the response of an earlier request. */
    @Test
    void sendsContinueAfterEarlierResponses() throws Exception {
        try (RawHttpClient client = new RawHttpClient(mServer.address())) {
            client.send(get("/0"));
            HttpExchange first = take(1).get(0);
            client.send(
                    "POST /1 HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\n"
                            + "content-length: 1\r\n\r\n");
            echo(first);
            assertEquals("200 /0", client.read());
            assertEquals("100", client.read());
            client.send("b");
            echo(take(1).get(0));
            assertEquals("200 /1", client.read());
        }
    }

    /**
     * Guards against callers that occupy a connection by sending a request slowly or not at all.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {"", "POST / HT", "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\na"})
    void closesSlowSenders(String part) throws Exception {
        mServer.close();
        mServer = serve(SHORT, part.isEmpty() ? SHORT : LONG, mExchanges::add);
        try (RawHttpClient client = new RawHttpClient(mServer.address())) {
            client.send(part);
            assertTrue(client.readToEnd());
        }
        assertTrue(mExchanges.isEmpty());
    }

    /** Guards against callers that keep responses in memory by not reading them. */
    @Test
    void closesSlowReaders() throws Exception {
        mServer.close();
        mServer = serve(SHORT, LONG, mExchanges::add);
        try (RawHttpClient client = new RawHttpClient(mServer.address())) {
            client.send(get("/0"));
            take(1).get(0).respond(HttpResponse.json(200, new byte[64 << 20]));
            Await.until("the connection is closed", () -> mServer.connectionCount() == 0);
        }
    }

    /** Guards against large responses that are truncated or block the next one. */
    @Test
    void sendsLargeResponsesCompletely() throws Exception {
        try (RawHttpClient client = new RawHttpClient(mServer.address())) {
            client.send(get("/0") + get("/1"));
            String large = "x".repeat(8 << 20);
            byte[] body = large.getBytes(StandardCharsets.UTF_8);
            take(2).forEach(exchange -> exchange.respond(HttpResponse.json(200, body)));
            assertTrue(client.read().equals("200 " + large));
            assertTrue(client.read().equals("200 " + large));
        }
    }

    /** Guards against failures when a response is given after its connection was reset. */
    @Test
    void toleratesConnectionResets() throws Exception {
        RawHttpClient resetClient = new RawHttpClient(mServer.address());
        resetClient.send(get("/0") + "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\na");
        HttpExchange lateExchange = take(1).get(0);
        resetClient.reset();
        Await.until("the connection is closed", () -> mServer.connectionCount() == 0);
        echo(lateExchange);
        try (RawHttpClient client = new RawHttpClient(mServer.address())) {
            client.send(get("/1"));
            echo(take(1).get(0));
            assertEquals("200 /1", client.read());
        }
    }

    /** Guards against a caller that gets no response because the handler failed. */
    @Test
    void respondsWhenHandlerFails() throws Exception {
        mServer.close();
        mServer =
                serve(
                        LONG,
                        LONG,
                        exchange -> {
                            throw new IllegalStateException("fault of the test");
                        });
        try (RawHttpClient client = new RawHttpClient(mServer.address())) {
            client.send(get("/0"));
            String response = client.read();
            assertTrue(response.startsWith("500 "), response);
            assertTrue(response.contains("may_have_run"), response);
            assertFalse(response.contains("fault of the test"), response);
        }
    }

    /** Guards against exhausting memory with too many connections. */
    @Test
    void closesConnectionsOverLimit() throws Exception {
        try (RawHttpClient first = new RawHttpClient(mServer.address());
                RawHttpClient second = new RawHttpClient(mServer.address())) {
            Await.until("two connections are open", () -> mServer.connectionCount() == 2);
            try (RawHttpClient third = new RawHttpClient(mServer.address())) {
                assertTrue(third.readToEnd());
            }
            first.send(get("/0"));
            second.send(get("/0"));
            take(2).forEach(HttpServerConnectionTest::echo);
            assertEquals("200 /0", first.read());
            assertEquals("200 /0", second.read());
        }
    }

    private HttpServer serve(Duration requestTimeout, Duration idleTimeout, HttpHandler handler) {
        return HttpServer.start(
                mThreads,
                new InetSocketAddress("127.0.0.1", 0),
                new HttpLimits(MAX_BODY, MAX_PIPELINED, requestTimeout, idleTimeout, 2),
                handler);
    }

    private List<HttpExchange> take(int count) throws InterruptedException {
        List<HttpExchange> result = new ArrayList<>();
        while (result.size() < count) {
            HttpExchange next = mExchanges.poll(20, TimeUnit.SECONDS);
            assertNotNull(next, "no request within 20 s");
            result.add(next);
        }
        return result;
    }

    private static void echo(HttpExchange exchange) {
        byte[] path = exchange.request().path().getBytes(StandardCharsets.UTF_8);
        exchange.respond(HttpResponse.json(200, path));
    }

    private static String get(String path) {
        return "GET " + path + " HTTP/1.1\r\nhost: a\r\n\r\n";
    }

    private static String text(byte[] bytes) {
        return new String(bytes, StandardCharsets.UTF_8);
    }
}
