package org.crocusturn.daemon.endpoints;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.crocusturn.core.DataCentreId;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.operators.DatabaseRecord;
import org.crocusturn.core.operators.EndpointRecord;
import org.crocusturn.daemon.net.HttpExchange;
import org.crocusturn.daemon.net.HttpRequest;
import org.crocusturn.daemon.net.HttpResponse;
import org.crocusturn.daemon.net.Json;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against accepting an invalid or unauthorised announcement of an endpoint. */
class AnnouncementHandlerTest {
    private static final EndpointRecord RECORD =
            new EndpointRecord(
                    EndpointId.of("db-1"),
                    "taftish-db",
                    DataCentreId.of("abdali"),
                    "127.0.0.1:7000",
                    "[::1]:7001",
                    List.of(new DatabaseRecord("visits", 2, 16), new DatabaseRecord("r", 5, 50)),
                    false);

    private final List<EndpointRecord> mAccepted = new ArrayList<>();

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void acceptsValidAnnouncement(boolean leaving) {
        EndpointRecord record = RECORD.withLeaving(leaving);
        HttpResponse response = post("Bearer s", EndpointJson.announcement(record));
        assertEquals(200, response.status());
        assertEquals(List.of(record), mAccepted);
    }

    /** Each case replaces one field, or removes it if the value is "absent". */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "endpoint | absent",
                "endpoint | \"\"",
                "endpoint | \"a b\"",
                "endpoint | 5",
                "service | \"/\"",
                "service | null",
                "dataCentre | [\"x\"]",
                "address | \"localhost:1\"",
                "address | \"127.0.0.1:0\"",
                "statusAddress | \"127.0.0.1:70000\"",
                "statusAddress | absent",
                "leaving | \"false\"",
                "databases | {}",
                "databases | []",
                "databases | [5]",
                "databases | [{\"name\":\"a\",\"slots\":0,\"connections\":1}]",
                "databases | [{\"name\":\"a\",\"slots\":1,\"connections\":1.5}]",
                "databases | [{\"name\":\"a\",\"slots\":1,\"connections\":4294967297}]",
                "databases | [{\"name\":\"a/b\",\"slots\":1,\"connections\":1}]",
                "databases | [{\"name\":\"a\",\"slots\":1,\"connections\":1},"
                        + "{\"name\":\"a\",\"slots\":1,\"connections\":1}]"
            })
    void refusalNamesMalformedField(String field, String json) {
        ObjectNode body = EndpointJson.announcement(RECORD);
        if (json.equals("absent")) {
            body.remove(field);
        } else {
            body.set(field, Json.read(json.getBytes(java.nio.charset.StandardCharsets.UTF_8)));
        }
        HttpResponse response = post("Bearer s", body);
        JsonNode error = Json.read(response.body());
        assertEquals(400, response.status());
        assertEquals("malformed_request", error.path("code").asText());
        assertTrue(error.path("message").asText().contains(field), error::toString);
        assertEquals(List.of(), mAccepted);
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "s", "Bearer ", "Bearer t", "Bearer ss", "bearer s"})
    void refusesOtherSecrets(String authorization) {
        HttpResponse response = post(authorization, EndpointJson.announcement(RECORD));
        assertEquals(401, response.status());
        assertEquals(List.of(), mAccepted);
    }

    private HttpResponse post(String authorization, JsonNode body) {
        List<HttpResponse> responses = new ArrayList<>();
        HttpRequest request =
                new HttpRequest(
                        "POST",
                        AnnouncementHandler.ROUTE,
                        Map.of("authorization", authorization),
                        Json.write(body));
        AnnouncementHandler.create("s", mAccepted::add)
                .handle(
                        new HttpExchange() {
                            @Override
                            public HttpRequest request() {
                                return request;
                            }

                            @Override
                            public long earliestSentNanos() {
                                return System.nanoTime();
                            }

                            @Override
                            public void respond(HttpResponse response) {
                                responses.add(response);
                            }
                        });
        assertEquals(1, responses.size());
        return responses.get(0);
    }
}
