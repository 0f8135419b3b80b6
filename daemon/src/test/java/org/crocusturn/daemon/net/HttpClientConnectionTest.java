package org.crocusturn.daemon.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.crocusturn.core.CrocusturnException;
import org.crocusturn.core.Verdict;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against bytes that arrive while no request is outstanding and become part of a response.
 */
class HttpClientConnectionTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final String OK = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

    private final ExecutorService mThreads = Executors.newCachedThreadPool();
    private final CountDownLatch mAnswered = new CountDownLatch(1);
    private NetThreads mNetThreads;
    private ServerSocket mServer;

    @BeforeEach
    void listen() throws IOException {
        mNetThreads = NetThreads.start("client-test", 1);
        mServer = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
    }

    @AfterEach
    void close() throws IOException {
        mServer.close();
        mThreads.shutdownNow();
        mNetThreads.close();
    }

    /**
     * The next response would be read as the rest of an earlier one, for example with the status
     * code of the earlier one.
     */
    @ParameterizedTest
    @MethodSource("unrequestedBytes")
    void closesConnectionOnBytesWithoutRequest(String bytes, boolean together) throws Exception {
        mThreads.execute(() -> serve(bytes, together));
        HttpClientConnection connection = connect();
        assertEquals(200, send(connection).status());
        mAnswered.countDown();
        CountDownLatch closed = new CountDownLatch(1);
        connection.onClosed(closed::countDown);
        assertTrue(closed.await(5, TimeUnit.SECONDS), "the connection stays open");
        assertEquals(Verdict.NOT_RUN, verdictOfNextRequest(connection));
    }

    static Stream<Arguments> unrequestedBytes() {
        return Stream.of(
                        "H",
                        "HTTP/1.1 200 OK",
                        "HTTP/1.1 200 OK\r\ncontent-",
                        "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n",
                        "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\no",
                        OK,
                        OK + OK,
                        "HTTP/1.1 100 Continue\r\n\r\n")
                .flatMap(bytes -> Stream.of(Arguments.of(bytes, false), Arguments.of(bytes, true)));
    }

    /** Guards against a request whose end is not known when the end of its connection is told. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "not HTTP\r\n\r\n",
                "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\no",
                "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 2\r\n\r\nok"
            })
    void reportsResultBeforeTheEndOfTheConnection(String bytes) throws Exception {
        mThreads.execute(() -> serveOnce(bytes));
        HttpClientConnection connection = connect();
        BlockingQueue<String> events = new LinkedBlockingQueue<>();
        connection.onClosed(() -> events.add("closed"));
        connection
                .send(HttpRequest.of("GET", "/"), TIMEOUT)
                .whenComplete((response, error) -> events.add("result"));
        assertEquals("result", events.poll(5, TimeUnit.SECONDS));
        assertEquals("closed", events.poll(5, TimeUnit.SECONDS));
    }

    private HttpClientConnection connect() throws Exception {
        return HttpClientConnection.connect(
                        mNetThreads, (InetSocketAddress) mServer.getLocalSocketAddress(), TIMEOUT)
                .get(10, TimeUnit.SECONDS);
    }

    private void serveOnce(String bytes) {
        try (Socket socket = mServer.accept()) {
            socket.getInputStream().read(new byte[4096]);
            write(socket, bytes);
        } catch (IOException e) {
            // The client closed the connection, or the test has ended.
        }
    }

    private static HttpResponse send(HttpClientConnection connection) throws Exception {
        return connection.send(HttpRequest.of("GET", "/"), TIMEOUT).get(10, TimeUnit.SECONDS);
    }

    private static Verdict verdictOfNextRequest(HttpClientConnection connection) throws Exception {
        try {
            throw new AssertionError("answered with " + send(connection));
        } catch (ExecutionException e) {
            return ((CrocusturnException) e.getCause()).failure().verdict();
        }
    }

    private void serve(String bytes, boolean together) {
        try (Socket socket = mServer.accept()) {
            InputStream in = socket.getInputStream();
            in.read(new byte[4096]);
            if (together) {
                write(socket, OK + bytes);
            } else {
                write(socket, OK);
                mAnswered.await();
                write(socket, bytes);
            }
            in.read(new byte[4096]);
        } catch (IOException | InterruptedException e) {
            // The client closed the connection, or the test has ended.
        }
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }
}
