package org.crocusturn.daemon.callers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.math.BigDecimal;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.crocusturn.core.ErrorCode;
import org.crocusturn.core.Failure;
import org.crocusturn.core.GroupId;
import org.crocusturn.core.callers.GroupOperation;
import org.crocusturn.core.callers.SqlValue;
import org.crocusturn.core.callers.Statement;
import org.crocusturn.core.callers.TransactionId;
import org.crocusturn.daemon.net.HttpExchange;
import org.crocusturn.daemon.net.HttpRequest;
import org.crocusturn.daemon.net.HttpResponse;
import org.crocusturn.daemon.net.Json;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against misinterpreted requests and against accepting malformed ones. */
class CallerFrontEndTest {
    private static final String KEY = "tablet-key.9_~+/=";
    private static final String SECRET = "0123456789abcdef0123456789abcdef";
    private static final String STATEMENTS = "/v1/services/taftish-db/statements";
    private static final String TRANSACTIONS = "/v1/services/taftish-db/transactions";
    private static final String OPEN = TRANSACTIONS + "/taftish-db~a1~7~" + SECRET;
    private static final TransactionId TRANSACTION =
            new TransactionId(GroupId.of("taftish-db", "a1"), 7, SECRET);

    static Stream<Arguments> operations() {
        Statement write = Statement.write("DELETE FROM visit");
        return Stream.of(
                Arguments.of(
                        STATEMENTS,
                        "{\"sql\":\"SELECT ?,?,?,?,?,?,?\",\"access\":\"read\","
                                + "\"maxAgeMillis\":5000,"
                                + "\"parameters\":[null,true,-9223372036854775808,1.50,1e2,"
                                + "9223372036854775808,\"\\u0645\"]}",
                        new GroupOperation.Execute(
                                Statement.read(
                                                "SELECT ?,?,?,?,?,?,?",
                                                SqlValue.NullValue.INSTANCE,
                                                new SqlValue.BooleanValue(true),
                                                new SqlValue.IntegerValue(Long.MIN_VALUE),
                                                decimal("1.50"),
                                                decimal("1E+2"),
                                                decimal("9223372036854775808"),
                                                new SqlValue.TextValue("\u0645"))
                                        .withMaxAge(Duration.ofSeconds(5)))),
                Arguments.of(
                        STATEMENTS,
                        "{\"access\":\"write\",\"sql\":\"DELETE FROM visit\","
                                + "\"requestId\":\"v-1\"}",
                        new GroupOperation.Execute(write.withRequestId("v-1"))),
                Arguments.of(TRANSACTIONS, "", new GroupOperation.Begin()),
                Arguments.of(TRANSACTIONS, "{}", new GroupOperation.Begin()),
                Arguments.of(
                        OPEN + "/statements",
                        "{\"access\":\"write\",\"sql\":\"DELETE FROM visit\"}",
                        new GroupOperation.ExecuteInTransaction(TRANSACTION, write)),
                Arguments.of(OPEN + "/commit", "", new GroupOperation.Commit(TRANSACTION)),
                Arguments.of(OPEN + "/rollback", "", new GroupOperation.Rollback(TRANSACTION)));
    }

    @ParameterizedTest
    @MethodSource("operations")
    void parsesOperations(String path, String body, GroupOperation expected) throws Exception {
        RecordingSink sink = new RecordingSink();
        assertNull(send(sink, post(path, body, "Bearer " + KEY, "crocusturn-session", "abc_-9")));
        ParsedRequest request = sink.mRequests.get(0);
        assertEquals(new CallerOperation("taftish-db", expected), request.operation());
        assertEquals(Optional.of("abc_-9"), request.session());
        byte[] hash =
                MessageDigest.getInstance("SHA-256").digest(KEY.getBytes(StandardCharsets.UTF_8));
        assertEquals(HexFormat.of().formatHex(hash), request.keyHash());
        assertFalse(request.toString().contains("abc_-9"));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            textBlock =
                    """
                    statements | []
                    statements | ``
                    statements | {"sql":"X","access":"read"
                    statements | {"sql":"X","access":"read"} {}
                    statements | {"sql":"X","sql":"Y","access":"read"}
                    statements | {"sql":"X","access":"read","more":1}
                    statements | {"sql":"X"}
                    statements | {"sql":"X","access":"READ"}
                    statements | {"sql":"X","access":1}
                    statements | {"access":"read"}
                    statements | {"sql":" ","access":"read"}
                    statements | {"sql":7,"access":"read"}
                    statements | {"sql":"\\ud800","access":"read"}
                    statements | {"sql":"X","access":"read","parameters":{}}
                    statements | {"sql":"X","access":"read","parameters":[[1]]}
                    statements | {"sql":"X","access":"read","parameters":[{}]}
                    statements | {"sql":"X","access":"read","parameters":[NaN]}
                    statements | {"sql":"X","access":"read","parameters":[1e9999]}
                    statements | {"sql":"X","access":"read","parameters":["\\udc00"]}
                    statements | {"sql":"X","access":"read","maxAgeMillis":-1}
                    statements | {"sql":"X","access":"read","maxAgeMillis":1.0}
                    statements | {"sql":"X","access":"read","maxAgeMillis":"1"}
                    statements | {"sql":"X","access":"read","maxAgeMillis":86400001}
                    statements | {"sql":"X","access":"write","maxAgeMillis":1}
                    statements | {"sql":"X","access":"read","requestId":"r"}
                    statements | {"sql":"X","access":"write","requestId":""}
                    statements | {"sql":"X","access":"write","requestId":"a b"}
                    statements | {"sql":"X","access":"write","requestId":null}
                    transactions | {"sql":"X"}
                    transactions | null
                    %ID%/statements | {"sql":"X","access":"write","requestId":"r"}
                    %ID%/statements | {"sql":"X","access":"read","maxAgeMillis":1}
                    %ID%/commit | []
                    %ID%/rollback | x
                    """)
    void refusesMalformedBodies(String path, String body) {
        String fullPath =
                "/v1/services/taftish-db/"
                        + path.replace("%ID%", "transactions/taftish-db~a1~7~" + SECRET);
        assertRefused(post(fullPath, body, "Bearer " + KEY), 400, "malformed_request");
    }

    @ParameterizedTest
    @CsvSource({
        "GET, /v1/services/taftish-db/statements",
        "PUT, /v1/services/taftish-db/statements",
        "POST, /v1/services/taftish-db/statements?x=1",
        "POST, /v1/services/taftish-db/statements/",
        "POST, /v1/services//statements",
        "POST, /v1/services/a%2fb/statements",
        "POST, /v1/services/taftish-db/transactions/x/commit",
        "POST, /v1/services/other/transactions/taftish-db~a1~7~" + SECRET + "/commit",
        "POST, /v1/services/taftish-db/transactions/taftish-db~a1~7~" + SECRET + "/abort",
        "POST, /open",
        "POST, /"
    })
    void refusesUnknownRoutes(String method, String path) {
        HttpRequest request = post(path, "not JSON", "Bearer " + KEY);
        assertRefused(
                new HttpRequest(method, path, request.headers(), request.body()), 404, "not_found");
    }

    @ParameterizedTest
    @CsvSource({
        "authorization, '', 401, key_refused",
        "authorization, Bearer, 401, key_refused",
        "authorization, 'Bearer ', 401, key_refused",
        "authorization, 'Bearer tablet key', 401, key_refused",
        "authorization, Basic dGFibGV0, 401, key_refused",
        "crocusturn-session, '', 400, session_invalid",
        "crocusturn-session, a.b, 400, session_invalid",
        "content-type, text/plain, 400, malformed_request",
        "content-type, application/json; charset=latin1, 400, malformed_request"
    })
    void refusesMalformedHeaders(String name, String value, int status, String code) {
        assertRefused(post(STATEMENTS, "not JSON", "Bearer " + KEY, name, value), status, code);
    }

    @Test
    void refusesMissingKeysAndLongSessions() {
        assertRefused(HttpRequest.of("POST", STATEMENTS), 401, "key_refused");
        assertRefused(
                post(STATEMENTS, "", "Bearer " + KEY, "crocusturn-session", "A".repeat(4_097)),
                400,
                "session_invalid");
    }

    /** Guards against parsing the body of a request that is refused regardless of it. */
    @Test
    void checksSinkBeforeParsingBody() {
        RecordingSink sink = new RecordingSink();
        sink.mRefusal = Optional.of(Failure.notRun(ErrorCode.RATE_LIMITED, "over the rate"));
        HttpResponse response = send(sink, post(STATEMENTS, "not JSON", "Bearer " + KEY));
        assertEquals(429, response.status());
    }

    @Test
    void refusesWhenRingIsFull() {
        RecordingSink sink = new RecordingSink();
        sink.mFull = true;
        HttpResponse response = send(sink, post(TRANSACTIONS, "", "Bearer " + KEY));
        assertEquals(503, response.status());
        assertEquals("overloaded", Json.read(response.body()).get("code").textValue());
        assertEquals("not_run", Json.read(response.body()).get("verdict").textValue());
    }

    @Test
    void answersOpenRoutesWithoutKey() {
        HttpResponse response = send(new RecordingSink(), HttpRequest.of("GET", "/open?x=1"));
        assertEquals(200, response.status());
        assertEquals("{\"status\":\"open\"}", new String(response.body(), StandardCharsets.UTF_8));
    }

    @Property(tries = 1_000, seed = "1")
    void toleratesRandomBodies(@ForAll byte[] body) {
        RecordingSink sink = new RecordingSink();
        HttpRequest request = post(STATEMENTS, "", "Bearer " + KEY);
        HttpResponse response =
                send(sink, new HttpRequest("POST", STATEMENTS, request.headers(), body));
        assertTrue(response == null ? sink.mRequests.size() == 1 : response.status() == 400);
    }

    private static void assertRefused(HttpRequest request, int status, String code) {
        RecordingSink sink = new RecordingSink();
        HttpResponse response = send(sink, request);
        assertTrue(sink.mRequests.isEmpty());
        String body = new String(response.body(), StandardCharsets.UTF_8);
        assertEquals(status, response.status(), body);
        assertEquals(code, Json.read(response.body()).get("code").textValue());
        assertEquals("not_run", Json.read(response.body()).get("verdict").textValue());
        assertFalse(body.contains("tablet"), body);
    }

    private static HttpResponse send(RecordingSink sink, HttpRequest request) {
        FakeExchange exchange = new FakeExchange(request);
        CallerFrontEnd.create(sink, () -> Set.of("/open")).handle(exchange);
        return exchange.mResponse;
    }

    private static HttpRequest post(String path, String body, String key, String... extraHeaders) {
        Map<String, String> headers = new HashMap<>();
        headers.put("authorization", key);
        for (int n = 0; n < extraHeaders.length; n += 2) {
            headers.put(extraHeaders[n], extraHeaders[n + 1]);
        }
        byte[] bytes = body == null ? new byte[0] : body.getBytes(StandardCharsets.UTF_8);
        return new HttpRequest("POST", path, headers, bytes);
    }

    private static SqlValue decimal(String text) {
        return new SqlValue.DecimalValue(new BigDecimal(text));
    }

    private static final class RecordingSink implements CallerSink {
        private final List<ParsedRequest> mRequests = new ArrayList<>();
        private Optional<Failure> mRefusal = Optional.empty();
        private boolean mFull;

        @Override
        public boolean offer(ParsedRequest request, AnswerCallback reply) {
            return !mFull && mRequests.add(request);
        }

        @Override
        public Optional<Failure> refusal(String keyHash) {
            return mRefusal;
        }
    }

    private static final class FakeExchange implements HttpExchange {
        private HttpRequest mRequest;
        private HttpResponse mResponse;

        private FakeExchange(HttpRequest request) {
            mRequest = request;
        }

        @Override
        public HttpRequest request() {
            return mRequest;
        }

        @Override
        public long earliestSentNanos() {
            return System.nanoTime();
        }

        @Override
        public void releaseRequest() {
            mRequest = null;
        }

        @Override
        public void respond(HttpResponse response) {
            mResponse = response;
        }
    }
}
