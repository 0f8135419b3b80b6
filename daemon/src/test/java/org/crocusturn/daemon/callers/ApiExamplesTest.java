package org.crocusturn.daemon.callers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.io.IOException;
import java.math.BigDecimal;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import java.util.stream.StreamSupport;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.ErrorCode;
import org.crocusturn.core.Failure;
import org.crocusturn.core.GroupId;
import org.crocusturn.core.LogPosition;
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.callers.GroupAnswer;
import org.crocusturn.core.callers.Outcome;
import org.crocusturn.core.callers.Role;
import org.crocusturn.core.callers.ServedBy;
import org.crocusturn.core.callers.SessionMark;
import org.crocusturn.core.callers.SessionToken;
import org.crocusturn.core.callers.SqlValue;
import org.crocusturn.core.callers.StatementAnswer;
import org.crocusturn.core.callers.TransactionId;
import org.crocusturn.daemon.net.HttpClientConnection;
import org.crocusturn.daemon.net.HttpLimits;
import org.crocusturn.daemon.net.HttpRequest;
import org.crocusturn.daemon.net.HttpResponse;
import org.crocusturn.daemon.net.HttpServer;
import org.crocusturn.daemon.net.NetThreads;
import org.crocusturn.daemon.net.SharedSecret;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against examples in docs/API.md that differ from the behavior of the code. */
class ApiExamplesTest {
    private static final Path DOCS = Path.of("..", "docs");
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final GroupId GROUP = GroupId.of("taftish-db", "a1");
    private static final SessionMark MARK =
            new SessionMark(LogPosition.of(3, 41), LogPosition.of(3, 41));
    private static final String TOKEN =
            SessionTokenCodec.of(SharedSecret.of("a secret of the examples"))
                    .encode(SessionToken.of(WorkspaceId.of("schools")).withMark(GROUP, MARK));

    static Stream<String> requests() throws IOException {
        return Stream.concat(
                blocks("http").filter(block -> block.startsWith("POST ")),
                blocks("json")
                        .filter(block -> block.startsWith("{\"sql\""))
                        .map(
                                body ->
                                        "POST /v1/services/taftish-db/statements HTTP/1.1\n"
                                                + "Authorization: Bearer k9mB2xQ7tVw4\n\n"
                                                + body));
    }

    static Stream<String> answers() throws IOException {
        return Stream.concat(
                blocks("http").filter(block -> block.startsWith("HTTP/1.1 ")),
                blocks("json").filter(block -> !block.startsWith("{\"sql\"")));
    }

    @ParameterizedTest
    @MethodSource("requests")
    void acceptsDocumentedRequests(String block) throws Exception {
        HttpResponse response = send(parse(block), CallerAnswer.of(written(), TOKEN));
        assertEquals(200, response.status());
        assertEquals(Optional.of(TOKEN), response.header("crocusturn-session"));
    }

    @ParameterizedTest
    @MethodSource("answers")
    void writesDocumentedResponses(String block) throws Exception {
        HttpRequest request = parse(requests().findFirst().orElseThrow());
        List<String> actual =
                Stream.concat(
                                outcomes()
                                        .map(
                                                outcome ->
                                                        send(
                                                                request,
                                                                CallerAnswer.of(outcome, TOKEN))),
                                Stream.of(send(HttpRequest.of("POST", "/v1/x"), null)))
                        .map(ApiExamplesTest::text)
                        .toList();
        String body = block.substring(block.lastIndexOf('\n') + 1);
        assertTrue(actual.contains(body), () -> body + " is not among " + actual);
        block.lines()
                .filter(line -> line.startsWith("crocusturn-session: "))
                .forEach(line -> assertEquals("crocusturn-session: " + TOKEN, line));
    }

    /** Guards against error codes that are missing in docs/openapi.yaml. */
    @Test
    void describesEveryErrorCode() throws IOException {
        JsonNode codes =
                new YAMLMapper()
                        .readTree(DOCS.resolve("openapi.yaml").toFile())
                        .at("/components/schemas/Failure/properties/code/enum");
        assertEquals(
                Arrays.stream(ErrorCode.values())
                        .map(ErrorCode::wireName)
                        .collect(Collectors.toSet()),
                StreamSupport.stream(codes.spliterator(), false)
                        .map(JsonNode::textValue)
                        .collect(Collectors.toSet()));
    }

    private static Stream<Outcome> outcomes() {
        StatementAnswer rows =
                new StatementAnswer(
                        List.of("site", "refilled", "weight"),
                        List.of(
                                List.of(
                                        new SqlValue.TextValue("school-17"),
                                        new SqlValue.BooleanValue(true),
                                        new SqlValue.DecimalValue(new BigDecimal("6.50"))),
                                List.of(
                                        new SqlValue.TextValue("school-17"),
                                        new SqlValue.BooleanValue(false),
                                        SqlValue.NullValue.INSTANCE)),
                        0,
                        new ServedBy(EndpointId.of("taftish-db-1"), Role.REPLICA, 3));
        TransactionId id = new TransactionId(GROUP, 12, "0f1e2d3c4b5a69788796a5b4c3d2e1f0");
        return Stream.of(
                written(),
                new Outcome.Answered(new GroupAnswer(Optional.of(rows), Optional.empty(), MARK)),
                new Outcome.Answered(new GroupAnswer(Optional.empty(), Optional.of(id), MARK)),
                new Outcome.Failed(
                        Failure.notRun(ErrorCode.RATE_LIMITED, "the workspace is over its rate")
                                .withRetryAfter(Duration.ofMillis(1_500))));
    }

    private static Outcome written() {
        StatementAnswer answer =
                new StatementAnswer(
                        List.of(),
                        List.of(),
                        1,
                        new ServedBy(EndpointId.of("taftish-db-2"), Role.PRIMARY, 3));
        return new Outcome.Answered(new GroupAnswer(Optional.of(answer), Optional.empty(), MARK));
    }

    private static HttpResponse send(HttpRequest request, CallerAnswer answer) {
        CallerSink sink =
                (parsed, reply) -> {
                    reply.complete(answer);
                    return true;
                };
        try (NetThreads threads = NetThreads.start("test", 1);
                HttpServer server =
                        HttpServer.start(
                                threads,
                                new InetSocketAddress("127.0.0.1", 0),
                                HttpLimits.DEFAULT,
                                CallerFrontEnd.create(sink, Set::of));
                HttpClientConnection client =
                        HttpClientConnection.connect(threads, server.address(), TIMEOUT).join()) {
            return client.send(request, TIMEOUT).get(20, TimeUnit.SECONDS);
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    private static HttpRequest parse(String block) {
        String[] parts = block.split("\n\n", 2);
        String[] lines = parts[0].split("\n");
        Map<String, String> headers = new HashMap<>();
        for (String line : Arrays.copyOfRange(lines, 1, lines.length)) {
            headers.put(
                    line.substring(0, line.indexOf(':')), line.substring(line.indexOf(':') + 2));
        }
        return new HttpRequest(
                "POST", lines[0].split(" ")[1], headers, parts[1].getBytes(StandardCharsets.UTF_8));
    }

    private static Stream<String> blocks(String language) throws IOException {
        return Pattern.compile("```" + language + "\n(.*?)\n```", Pattern.DOTALL)
                .matcher(Files.readString(DOCS.resolve("API.md")))
                .results()
                .map(block -> block.group(1));
    }

    private static String text(HttpResponse response) {
        return new String(response.body(), StandardCharsets.UTF_8);
    }
}
