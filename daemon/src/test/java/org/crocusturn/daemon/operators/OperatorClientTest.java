package org.crocusturn.daemon.operators;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.crocusturn.core.CrocusturnException;
import org.crocusturn.core.Verdict;
import org.crocusturn.daemon.settings.Secret;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against an operator who is told that a change was decided which may not have been. */
class OperatorClientTest {
    private static final String OTHER = "{\"changeId\":\"other\",\"accepted\":true,\"version\":7}";

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "200 | " + OTHER,
                "200 | {\"changeId\":\"own\",\"accepted\":tr",
                "200 | <html>gateway</html>",
                "200 | ''",
                "502 | <html>gateway</html>",
                "409 | {\"code\":\"conflict\",\"verdict\":\"not_",
                "409 | {}"
            })
    void reportsMayHaveRun(int status, String body) throws IOException {
        CrocusturnException e =
                assertThrows(CrocusturnException.class, () -> send(status, body, "own"));
        assertEquals(Verdict.MAY_HAVE_RUN, e.failure().verdict());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "409 | {\"code\":\"conflict\",\"message\":\"x\",\"verdict\":\"not_run\"} | NOT_RUN",
                "503 | {\"code\":\"unavailable\",\"verdict\":\"not_run\"} | NOT_RUN",
                "504 | {\"code\":\"outcome_unknown\",\"verdict\":\"may_have_run\"} | MAY_HAVE_RUN"
            })
    void reportsVerdictOfControlHost(int status, String body, Verdict verdict) throws IOException {
        CrocusturnException e =
                assertThrows(CrocusturnException.class, () -> send(status, body, "own"));
        assertEquals(verdict, e.failure().verdict());
    }

    @ParameterizedTest
    @CsvSource({"other", "member"})
    void acceptsOwnOutcome(String changeId) throws IOException {
        String body = OTHER.replace("other", changeId);
        assertEquals(7, send(200, body, changeId).path("version").asInt());
    }

    private static com.fasterxml.jackson.databind.JsonNode send(
            int status, String body, String changeId) throws IOException {
        HttpServer server =
                HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.createContext(
                "/",
                exchange -> {
                    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
                    exchange.sendResponseHeaders(status, bytes.length == 0 ? -1 : bytes.length);
                    exchange.getResponseBody().write(bytes);
                    exchange.close();
                });
        server.start();
        try {
            URI host = URI.create("http://127.0.0.1:" + server.getAddress().getPort());
            return OperatorClient.create(List.of(host), Secret.NONE)
                    .send("POST", "/v1/configuration", Optional.of(changeId), new byte[0]);
        } finally {
            server.stop(0);
        }
    }
}
