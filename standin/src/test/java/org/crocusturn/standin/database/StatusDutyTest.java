package org.crocusturn.standin.database;

import static org.crocusturn.standin.database.StandInCluster.assertDone;
import static org.crocusturn.standin.database.StandInCluster.await;
import static org.crocusturn.standin.database.StandInCluster.integer;
import static org.crocusturn.standin.database.StandInCluster.write;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.crocusturn.core.endpoints.DatabaseResult;
import org.crocusturn.daemon.endpoints.DatabaseClient;
import org.crocusturn.daemon.net.Addresses;
import org.crocusturn.daemon.net.HttpClientConnection;
import org.crocusturn.daemon.net.HttpRequest;
import org.crocusturn.daemon.net.HttpResponse;
import org.crocusturn.daemon.net.Json;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a status port that accepts invalid requests. */
class StatusDutyTest {
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "POST | /v1/fence | {ID,\"term\":1} | 400 | database",
                "POST | /v1/fence | {\"database\":\"visits\",\"term\":1} | 400 | request",
                "POST | /v1/fence | {ID,\"database\":\"visits\"} | 400 | term",
                "POST | /v1/promote | {ID,\"database\":\"visits\",\"term\":\"1\"} | 400 | term",
                "POST | /v1/promote | {ID,\"database\":\"none\",\"term\":1} | 400"
                        + " | no such database",
                "POST | /v1/follow | {ID,\"database\":\"visits\",\"term\":1} | 400 | primary",
                "POST | /v1/follow | {ID,\"database\":\"visits\",\"term\":1,\"primary\":\"x\"}"
                        + " | 400 | primary",
                "POST | /v1/faults | {\"lagMillis\":-1} | 400 | lagMillis",
                "POST | /v1/faults | {\"faults\":[{\"kind\":\"x\"}]} | 400 | kind",
                "POST | /v1/other | {ID,\"database\":\"visits\",\"term\":1} | 400 | no such route",
                "GET | /v1/status?wait=1&since=0 | {} | 400 | request",
                "GET | /v1/status?wait=1&request=r-1 | {} | 400 | since",
                "GET | /v1/replication?database=visits&term=1&afterTerm=0&afterIndex=0&wait=0"
                        + "&request=r-1"
                        + " | {} | 409 | primary"
            })
    void rejectsInvalidRequests(
            String method, String path, String body, int status, String expectedText)
            throws Exception {
        try (StandInCluster cluster = new StandInCluster(1, Behaviour.NORMAL)) {
            String sent = body.replace("ID,", "\"request\":\"r-1\",");
            HttpResponse response = send(cluster, method, path, sent);
            assertEquals(status, response.status());
            JsonNode error = Json.read(response.body());
            assertTrue(error.path("message").asText().contains(expectedText), error::toString);
            String request = (path + sent).contains("r-1") ? "r-1" : "";
            assertEquals(request, error.path("request").asText());
            assertEquals(0, cluster.status(0).term());
        }
    }

    /** Guards against faults and counters that are not available over HTTP. */
    @Test
    void faultsAndCountersWorkOverHttp() throws Exception {
        try (StandInCluster cluster = StandInCluster.withPrimary(2, Behaviour.NORMAL);
                DatabaseClient client = cluster.open(0, 1)) {
            String faults =
                    "{\"lagMillis\":7,\"faults\":[{\"kind\":\"drop-after\",\"times\":1,"
                            + "\"database\":\"visits\",\"route\":\"/v1/run\"}]}";
            assertEquals(200, send(cluster, "POST", "/v1/faults", faults).status());
            String sql = "INSERT INTO t VALUES (?, ?)";
            var lost = cluster.run(client, write(1, sql, integer(1), integer(2)));
            assertInstanceOf(DatabaseResult.Lost.class, lost);
            try (DatabaseClient second = cluster.open(0, 1)) {
                assertDone(cluster.run(second, write(1, sql, integer(2), integer(2))));
            }
            await(() -> cluster.status(1).position().index() == 3);
            JsonNode counters = Json.read(send(cluster, "GET", "/v1/counters", "{}").body());
            long ran = 0;
            for (JsonNode statement : counters.path("statements")) {
                if (statement.path("sql").asText().equals(sql)) {
                    assertEquals(2, statement.path("parameters").size());
                    ran += statement.path("count").asLong();
                }
            }
            assertEquals(2, ran);
            assertEquals(1, counters.path("mostStatements").path("visits").asInt());
            assertTrue(counters.path("headerNames").toString().contains("\"content-type\""));
            assertTrue(counters.path("fieldNames").toString().contains("\"access\""));
        }
    }

    private static HttpResponse send(
            StandInCluster cluster, String method, String path, String body) throws Exception {
        var address = Addresses.parse(cluster.standIn(0).record().statusAddress());
        try (HttpClientConnection connection =
                HttpClientConnection.connect(cluster.threads(), address, StandInCluster.TIMEOUT)
                        .get(10, TimeUnit.SECONDS)) {
            return connection
                    .send(
                            new HttpRequest(
                                    method, path, Map.of(), body.getBytes(StandardCharsets.UTF_8)),
                            StandInCluster.TIMEOUT)
                    .get(10, TimeUnit.SECONDS);
        }
    }
}
