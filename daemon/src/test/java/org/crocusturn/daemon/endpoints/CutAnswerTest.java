package org.crocusturn.daemon.endpoints;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.crocusturn.core.Verdict;
import org.crocusturn.core.callers.Statement;
import org.crocusturn.core.endpoints.DatabaseCommand;
import org.crocusturn.core.endpoints.DatabaseResult;
import org.crocusturn.daemon.net.Json;
import org.crocusturn.daemon.net.NetThreads;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against an answer that is read together with the cut beginning of an earlier one. */
class CutAnswerTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(3);

    private static final List<String> CUTS =
            List.of("", "x: ", "x: y\r\n", "content-length: 4\r\n\r\nab");

    /** The beginning of an earlier answer, and the status of the own one that follows it. */
    static Stream<Arguments> cuts() {
        return CUTS.stream()
                .flatMap(
                        cut ->
                                Stream.of(
                                        Arguments.of("HTTP/1.1 200 -\r\n" + cut, 409),
                                        Arguments.of("HTTP/1.1 409 -\r\n" + cut, 200)));
    }

    @ParameterizedTest
    @MethodSource("cuts")
    void reportsMayHaveRun(String cut, int ownStatus) throws Exception {
        try (RepeatingEndpoint endpoint =
                        new RepeatingEndpoint(request -> answers(request, cut, ownStatus));
                NetThreads threads = NetThreads.start("test", 1);
                DatabaseClient client =
                        DatabaseClient.open(threads, 1, endpoint.address(), "visits", 1, TIMEOUT)
                                .get(10, TimeUnit.SECONDS)) {
            DatabaseResult result =
                    client.run(new DatabaseCommand.Run(1, Statement.write("X")), TIMEOUT)
                            .get(10, TimeUnit.SECONDS);
            var lost = assertInstanceOf(DatabaseResult.Lost.class, result, result::toString);
            assertEquals(Verdict.MAY_HAVE_RUN, lost.failure().verdict());
        }
    }

    private static List<byte[]> answers(
            RepeatingEndpoint.Received request, String cut, int ownStatus) {
        if (request.number() == 1) {
            return List.of(RepeatingEndpoint.answer(200, request, position()));
        }
        ObjectNode body =
                ownStatus == 200
                        ? position().put("updated", 1)
                        : position()
                                .put("code", "not_primary")
                                .put("message", "x")
                                .put("verdict", "not_run");
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.writeBytes(cut.getBytes(StandardCharsets.US_ASCII));
        bytes.writeBytes(RepeatingEndpoint.answer(ownStatus, request, body));
        return List.of(bytes.toByteArray());
    }

    private static ObjectNode position() {
        return Json.object().put("term", 1).put("index", 1);
    }
}
