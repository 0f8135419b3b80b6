package org.crocusturn.standin.database;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.crocusturn.core.LogPosition;
import org.crocusturn.daemon.endpoints.EndpointJson;
import org.crocusturn.daemon.endpoints.JsonFields;
import org.crocusturn.daemon.net.Json;

/**
 * Encodes and decodes log entries for replication. Times are transferred as ages, so that the
 * clocks of the endpoints need not be synchronised.
 */
final class LogJson {
    private static final long NANOS_PER_MICRO = 1_000;

    private LogJson() {}

    static ArrayNode entries(List<CommittedEntry> entries, long nowNanos) {
        ArrayNode array = Json.object().arrayNode();
        entries.forEach(e -> array.add(entry(e, nowNanos)));
        return array;
    }

    static CommittedEntry entry(JsonNode node, long receivedNanos) {
        return new CommittedEntry(
                LogPosition.of(
                        JsonFields.integer(node, "term", 0), JsonFields.integer(node, "index", 1)),
                receivedNanos - JsonFields.integer(node, "ageMicros", 0) * NANOS_PER_MICRO,
                JsonFields.list(node, "statements", (s, name) -> statement(s)));
    }

    private static ObjectNode entry(CommittedEntry entry, long nowNanos) {
        ObjectNode node =
                Json.object()
                        .put("term", entry.position().term())
                        .put("index", entry.position().index())
                        .put(
                                "ageMicros",
                                Math.max(0, (nowNanos - entry.commitNanos()) / NANOS_PER_MICRO));
        ArrayNode statements = node.putArray("statements");
        entry.statements()
                .forEach(
                        s ->
                                statements
                                        .addObject()
                                        .put("sql", s.sql())
                                        .set("parameters", EndpointJson.values(s.parameters())));
        return node;
    }

    private static LoggedStatement statement(JsonNode node) {
        return new LoggedStatement(
                JsonFields.text(node, "sql"),
                EndpointJson.values(JsonFields.required(node, "parameters"), "parameters"));
    }
}
