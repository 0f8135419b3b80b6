package org.crocusturn.daemon.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a request whose end is not clear, so that a recipient in front of this one could
 * take a part of it for another request.
 */
class RequestBoundsTest {
    private static final int MAX_BODY = 1_000;
    private static final Duration TIMEOUT = Duration.ofMinutes(1);

    private final List<String> mRequests = new CopyOnWriteArrayList<>();
    private NetThreads mThreads;
    private HttpServer mServer;

    @BeforeEach
    void start() {
        mThreads = NetThreads.start("request-bounds-test", 1);
        mServer =
                HttpServer.start(
                        mThreads,
                        new InetSocketAddress("127.0.0.1", 0),
                        new HttpLimits(MAX_BODY, 4, TIMEOUT, TIMEOUT, 10),
                        exchange -> {
                            HttpRequest request = exchange.request();
                            mRequests.add(
                                    request.method()
                                            + " "
                                            + request.path()
                                            + " "
                                            + new String(
                                                    request.body(), StandardCharsets.ISO_8859_1));
                            exchange.respond(HttpResponse.json(200, new byte[0]));
                        });
    }

    @AfterEach
    void stop() {
        mServer.close();
        mThreads.close();
    }

    /** Writes ~ for CR LF, ^ for CR, _ for LF and @ for NUL. */
    private static String unescape(String text) {
        return text.replace("~", "\r\n").replace('^', '\r').replace('_', '\n').replace('@', '\0');
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "GET / HTTP/1.1_host: a__",
                "GET / HTTP/1.1~host: a_x: b~~",
                "GET / HTTP/1.1~host: a~x: b_~",
                "GET / HTTP/1.1~host: a__",
                "GET / HTTP/1.1^host: a^^",
                "GET / HTTP/1.1~host: a^x: b~~",
                "GET / HTTP/1.1~host: a~x: b@c~~",
                "GET / HTTP/1.1~host: a~content-length : 3~~abc",
                "GET / HTTP/1.1~host: a~x@y: b~~",
                "GET /a b HTTP/1.1~host: a~~",
                "GET /a^b HTTP/1.1~host: a~~",
                "POST / HTTP/1.1~host: a~content-length: 3~content-length: 3~~abc",
                "POST / HTTP/1.1~host: a~content-length: 3, 3~~abc",
                "POST / HTTP/1.1~host: a~content-length: +3~~abc",
                "POST / HTTP/1.1~host: a~content-length: 0x3~~abc",
                "POST / HTTP/1.1~host: a~content-length: 3 3~~abc",
                "POST / HTTP/1.1~host: a~content-length: ~~",
                "POST / HTTP/1.1~host: a~content-length: 3~transfer-encoding: chunked~~0~~",
                "POST / HTTP/1.1~host: a~transfer-encoding: chunked~content-length: 3~~0~~",
                "POST / HTTP/1.1~host: a~transfer-encoding: chunked~transfer-encoding: x~~0~~",
                "POST / HTTP/1.1~host: a~transfer-encoding: chunked, chunked~~0~~",
                "POST / HTTP/1.1~host: a~transfer-encoding: x, chunked~~0~~",
                "POST / HTTP/1.1~host: a~transfer-encoding: chunked, x~~0~~",
                "POST / HTTP/1.1~host: a~transfer-encoding: xchunked~~0~~",
                "POST / HTTP/1.1~host: a~transfer-encoding: ^chunked~~0~~",
                "POST / HTTP/1.0~host: a~transfer-encoding: chunked~~0~~",
                "POST / HTTP/1.1~host: a~transfer-encoding: chunked~~3_abc~0~~",
                "POST / HTTP/1.1~host: a~transfer-encoding: chunked~~3~abc_0~~",
                "POST / HTTP/1.1~host: a~transfer-encoding: chunked~~3;x_y~abc~0~~",
                "POST / HTTP/1.1~host: a~transfer-encoding: chunked~~+3~abc~0~~",
                "POST / HTTP/1.1~host: a~transfer-encoding: chunked~~-3~abc~0~~",
                "POST / HTTP/1.1~host: a~transfer-encoding: chunked~~0x3~abc~0~~",
                "POST / HTTP/1.1~host: a~transfer-encoding: chunked~~~abc~0~~",
                "POST / HTTP/1.1~host: a~transfer-encoding: chunked~~3~abcd~0~~",
                "POST / HTTP/1.1~host: a~transfer-encoding: chunked~~ffffffff3~abc~0~~"
            })
    void refusesUnclearRequest(String request) throws Exception {
        try (RawHttpClient client = new RawHttpClient(mServer.address())) {
            client.send(unescape(request) + unescape("GET /next HTTP/1.1~host: a~~"));
            String response = client.read();
            assertTrue(response.startsWith("400 "), response + " " + mRequests);
            assertTrue(client.readToEnd());
        }
        assertEquals(List.of(), mRequests);
    }

    /** Guards against refusing, or cutting, requests whose end is clear. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "POST /1 HTTP/1.1~host: a~content-length: 3~~abc",
                "POST /1 HTTP/1.1~host: a~Content-Length:3~~abc",
                "POST /1 HTTP/1.1~host: a~transfer-encoding: chunked~~3~abc~0~~",
                "POST /1 HTTP/1.1~host: a~Transfer-Encoding: Chunked~~1~a~2;x=y~bc~0~~",
                "POST /1 HTTP/1.1~host: a~transfer-encoding: chunked~~3~abc~0~x: y~~"
            })
    void readsClearRequests(String request) throws Exception {
        try (RawHttpClient client = new RawHttpClient(mServer.address())) {
            client.send(unescape(request) + unescape("GET /next HTTP/1.1~host: a~~"));
            assertEquals("200", client.read());
            assertEquals("200", client.read());
        }
        assertEquals(List.of("POST /1 abc", "GET /next "), mRequests);
    }
}
