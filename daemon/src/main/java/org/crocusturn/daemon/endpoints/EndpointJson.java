package org.crocusturn.daemon.endpoints;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.math.BigDecimal;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.Supplier;
import org.crocusturn.core.CrocusturnException;
import org.crocusturn.core.DataCentreId;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.LogPosition;
import org.crocusturn.core.callers.Role;
import org.crocusturn.core.callers.SqlValue;
import org.crocusturn.core.endpoints.CopyStatus;
import org.crocusturn.core.endpoints.RequestId;
import org.crocusturn.core.operators.DatabaseRecord;
import org.crocusturn.core.operators.EndpointRecord;
import org.crocusturn.daemon.net.Addresses;
import org.crocusturn.daemon.net.Json;

/**
 * Converts the records of the database protocol to and from JSON; docs/database-protocol.md
 * describes the fields.
 *
 * <p>Reading throws a {@link CrocusturnException} that names the malformed field.
 */
public final class EndpointJson {
    /** Limits the exponent, because a short text could otherwise expand to a huge number. */
    private static final int MAX_SCALE = 10_000;

    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

    private EndpointJson() {}

    /**
     * Encodes a value.
     *
     * <p>A decimal is encoded as an object that contains its text, because a JSON number preserves
     * neither the scale nor the distinction between integers and decimals.
     */
    public static JsonNode value(SqlValue value) {
        if (value instanceof SqlValue.BooleanValue truth) {
            return NODES.booleanNode(truth.value());
        }
        if (value instanceof SqlValue.IntegerValue number) {
            return NODES.numberNode(number.value());
        }
        if (value instanceof SqlValue.DecimalValue decimal) {
            return Json.object().put("decimal", decimal.value().toString());
        }
        if (value instanceof SqlValue.TextValue text) {
            return NODES.textNode(text.value());
        }
        return NODES.nullNode();
    }

    /** Reads a value; the name is used in error messages. */
    public static SqlValue value(JsonNode node, String name) {
        if (node.isNull()) {
            return SqlValue.NullValue.INSTANCE;
        }
        if (node.isBoolean()) {
            return new SqlValue.BooleanValue(node.booleanValue());
        }
        if (node.isTextual()) {
            return new SqlValue.TextValue(node.textValue());
        }
        if (node.isIntegralNumber() && node.canConvertToLong()) {
            return new SqlValue.IntegerValue(node.longValue());
        }
        if (node.isObject() && node.size() == 1 && node.path("decimal").isTextual()) {
            return decimal(node.get("decimal").textValue(), name);
        }
        throw JsonFields.malformed(
                "field \""
                        + name
                        + "\" must be null, a boolean, a string, a 64-bit integer or"
                        + " {\"decimal\": STRING}");
    }

    /** Encodes values. */
    public static ArrayNode values(List<SqlValue> values) {
        ArrayNode array = NODES.arrayNode(values.size());
        values.forEach(v -> array.add(value(v)));
        return array;
    }

    /** Encodes rows. */
    public static ArrayNode rows(List<List<SqlValue>> rows) {
        ArrayNode array = NODES.arrayNode(rows.size());
        rows.forEach(r -> array.add(values(r)));
        return array;
    }

    /** Reads an array of values; the name is used in error messages. */
    public static List<SqlValue> values(JsonNode array, String name) {
        return JsonFields.elements(array, name, EndpointJson::value);
    }

    /**
     * Checks that a body is an answer to a request.
     *
     * @throws CrocusturnException if it names another request, or none
     */
    public static void requireAnswer(RequestId request, JsonNode body) {
        request.requireNamedBy(JsonFields.text(body, "request"));
    }

    /** Encodes the status of a copy. */
    public static ObjectNode status(CopyStatus status) {
        return Json.object()
                .put("database", status.database())
                .put("role", status.role().name().toLowerCase(Locale.ROOT))
                .put("term", status.term())
                .put("logTerm", status.position().term())
                .put("logIndex", status.position().index())
                .put("lagMillis", status.lagMillis());
    }

    /** Reads the status of a copy. */
    public static CopyStatus status(JsonNode node) {
        return new CopyStatus(
                JsonFields.text(node, "database"),
                role(JsonFields.text(node, "role")),
                JsonFields.integer(node, "term", 0, LogPosition.MAX_TERM),
                LogPosition.of(
                        JsonFields.integer(node, "logTerm", 0, LogPosition.MAX_TERM),
                        JsonFields.integer(node, "logIndex", 0)),
                JsonFields.integer(node, "lagMillis", 0));
    }

    /** Encodes an announcement. */
    public static ObjectNode announcement(EndpointRecord record) {
        ObjectNode node =
                Json.object()
                        .put("endpoint", record.id().value())
                        .put("service", record.service())
                        .put("dataCentre", record.dataCentre().value())
                        .put("address", record.address())
                        .put("statusAddress", record.statusAddress())
                        .put("leaving", record.leaving());
        ArrayNode databases = node.putArray("databases");
        record.databases()
                .forEach(
                        d ->
                                databases
                                        .addObject()
                                        .put("name", d.name())
                                        .put("slots", d.slots())
                                        .put("connections", d.connections()));
        return node;
    }

    /** Reads an announcement. */
    public static EndpointRecord announcement(JsonNode node) {
        List<DatabaseRecord> databases = JsonFields.list(node, "databases", EndpointJson::database);
        Set<String> names = new HashSet<>();
        databases.forEach(
                d -> {
                    if (!names.add(d.name())) {
                        throw JsonFields.malformed(
                                "field \"databases\" contains database " + d.name() + " twice");
                    }
                });
        if (databases.isEmpty()) {
            throw JsonFields.malformed("field \"databases\" must not be empty");
        }
        return new EndpointRecord(
                withFieldName("endpoint", () -> EndpointId.of(JsonFields.text(node, "endpoint"))),
                name(node, "service", "service"),
                withFieldName(
                        "dataCentre", () -> DataCentreId.of(JsonFields.text(node, "dataCentre"))),
                address(node, "address"),
                address(node, "statusAddress"),
                databases,
                JsonFields.bool(node, "leaving"));
    }

    private static DatabaseRecord database(JsonNode node, String name) {
        return withFieldName(
                name,
                () ->
                        new DatabaseRecord(
                                name(node, "name", name + ".name"),
                                count(node, "slots"),
                                count(node, "connections")));
    }

    private static int count(JsonNode node, String name) {
        return (int) JsonFields.integer(node, name, 1, Integer.MAX_VALUE);
    }

    private static String name(JsonNode node, String field, String path) {
        return withFieldName(path, () -> EndpointId.of(JsonFields.text(node, field))).value();
    }

    private static String address(JsonNode node, String name) {
        String text = JsonFields.text(node, name);
        return withFieldName(
                name,
                () -> {
                    if (Addresses.parse(text).getPort() == 0) {
                        throw new IllegalArgumentException("the port must not be 0");
                    }
                    return text;
                });
    }

    /** Adds the name of the field to the error messages of a reader. */
    private static <T> T withFieldName(String name, Supplier<T> reader) {
        try {
            return reader.get();
        } catch (CrocusturnException | IllegalArgumentException e) {
            String prefix = "field \"" + name + "\"";
            throw JsonFields.malformed(
                    e.getMessage().startsWith(prefix)
                            ? e.getMessage()
                            : prefix + ": " + e.getMessage());
        }
    }

    private static SqlValue decimal(String text, String name) {
        try {
            BigDecimal value = new BigDecimal(text);
            if (Math.abs((long) value.scale()) > MAX_SCALE) {
                throw JsonFields.malformed("field \"" + name + "\" has too large an exponent");
            }
            return new SqlValue.DecimalValue(value);
        } catch (NumberFormatException e) {
            throw JsonFields.malformed("field \"" + name + "\" must be a decimal number");
        }
    }

    private static Role role(String text) {
        return switch (text) {
            case "primary" -> Role.PRIMARY;
            case "replica" -> Role.REPLICA;
            default ->
                    throw JsonFields.malformed("field \"role\" must be \"primary\" or \"replica\"");
        };
    }
}
