package org.crocusturn.daemon.callers;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;
import org.crocusturn.core.CrocusturnException;
import org.crocusturn.core.ErrorCode;
import org.crocusturn.core.callers.Access;
import org.crocusturn.core.callers.SqlValue;
import org.crocusturn.core.callers.Statement;
import org.crocusturn.daemon.net.Json;

/** Parses the JSON bodies of callers; rejects unknown fields. */
final class StatementParser {
    private static final Set<String> STATEMENT_FIELDS =
            Set.of("sql", "parameters", "access", "maxAgeMillis", "requestId");

    private static final Set<String> TRANSACTION_FIELDS = Set.of("sql", "parameters", "access");

    /** Maximum staleness that a read may accept: one day. No caller can use older data. */
    private static final long MAX_AGE_MILLIS = 86_400_000;

    private static final Pattern REQUEST_ID = Pattern.compile("[\\x21-\\x7e]{1,128}");

    private StatementParser() {}

    /** Parses a statement that runs outside a transaction. */
    static Statement parse(byte[] body) {
        return parse(body, STATEMENT_FIELDS);
    }

    /** Parses a statement of a transaction, which has no maximum age and no request id. */
    static Statement parseInTransaction(byte[] body) {
        return parse(body, TRANSACTION_FIELDS);
    }

    /** Checks that a body is empty or an empty JSON object. */
    static void requireEmptyBody(byte[] body) {
        if (body.length > 0) {
            object(body, Set.of());
        }
    }

    private static Statement parse(byte[] body, Set<String> fields) {
        JsonNode object = object(body, fields);
        Access access = access(object.get("access"));
        Optional<Duration> maxAge = maxAge(object.get("maxAgeMillis"));
        Optional<String> requestId = requestId(object.get("requestId"));
        if (maxAge.isPresent() && access != Access.READ) {
            throw malformed("field maxAgeMillis is only allowed for reads");
        }
        if (requestId.isPresent() && access != Access.WRITE) {
            throw malformed("field requestId is only allowed for writes");
        }
        return new Statement(
                sql(object.get("sql")),
                parameters(object.get("parameters")),
                access,
                maxAge,
                requestId);
    }

    private static JsonNode object(byte[] body, Set<String> fields) {
        JsonNode node = Json.read(body);
        if (!node.isObject()) {
            throw malformed("the body must be a JSON object");
        }
        Iterator<String> names = node.fieldNames();
        while (names.hasNext()) {
            if (!fields.contains(names.next())) {
                throw malformed("the body has a field that is not allowed here");
            }
        }
        return node;
    }

    private static String sql(JsonNode node) {
        if (node == null || !node.isTextual() || node.textValue().isBlank()) {
            throw malformed("field sql must be a string that is not blank");
        }
        return requireValidUnicode(node.textValue());
    }

    private static Access access(JsonNode node) {
        String text = node == null ? "" : node.asText();
        if (node != null && node.isTextual()) {
            if (text.equals("read")) {
                return Access.READ;
            }
            if (text.equals("write")) {
                return Access.WRITE;
            }
        }
        throw malformed("field access must be \"read\" or \"write\"");
    }

    private static Optional<Duration> maxAge(JsonNode node) {
        if (node == null) {
            return Optional.empty();
        }
        if (!node.isIntegralNumber()
                || !node.canConvertToLong()
                || node.longValue() < 0
                || node.longValue() > MAX_AGE_MILLIS) {
            throw malformed("field maxAgeMillis must be an integer from 0 to " + MAX_AGE_MILLIS);
        }
        return Optional.of(Duration.ofMillis(node.longValue()));
    }

    private static Optional<String> requestId(JsonNode node) {
        if (node == null) {
            return Optional.empty();
        }
        if (!node.isTextual() || !REQUEST_ID.matcher(node.textValue()).matches()) {
            throw malformed(
                    "field requestId must have 1 to 128 printable ASCII characters without spaces");
        }
        return Optional.of(node.textValue());
    }

    private static List<SqlValue> parameters(JsonNode node) {
        if (node == null) {
            return List.of();
        }
        if (!node.isArray()) {
            throw malformed("field parameters must be an array");
        }
        List<SqlValue> values = new ArrayList<>(node.size());
        node.forEach(element -> values.add(JsonValues.toSql(element)));
        return values;
    }

    /** Rejects unpaired surrogates, which cannot be encoded in UTF-8. */
    static String requireValidUnicode(String text) {
        if (!StandardCharsets.UTF_8.newEncoder().canEncode(text)) {
            throw malformed("a string is not valid Unicode");
        }
        return text;
    }

    static CrocusturnException malformed(String message) {
        return CrocusturnException.notRun(ErrorCode.MALFORMED_REQUEST, message);
    }
}
