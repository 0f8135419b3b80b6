package org.crocusturn.daemon.callers;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import java.math.BigDecimal;
import org.crocusturn.core.callers.SqlValue;

/** Converts between SQL values and JSON. */
final class JsonValues {
    /**
     * Maximum absolute value of a decimal's exponent. Without it, a short number such as
     * 1e999999999 would expand to a gigabyte in a database that writes all digits.
     */
    private static final int MAX_SCALE = 1_000;

    private JsonValues() {}

    /** Converts a JSON scalar; an integer of more than 64 bits becomes a decimal. */
    static SqlValue toSql(JsonNode node) {
        return switch (node.getNodeType()) {
            case NULL -> SqlValue.NullValue.INSTANCE;
            case BOOLEAN -> new SqlValue.BooleanValue(node.booleanValue());
            case STRING ->
                    new SqlValue.TextValue(StatementParser.requireValidUnicode(node.textValue()));
            case NUMBER -> number(node);
            default ->
                    throw StatementParser.malformed(
                            "a parameter must be null, a boolean, a number or a string");
        };
    }

    /** Appends a value to a JSON array. */
    static void add(ArrayNode array, SqlValue value) {
        if (value instanceof SqlValue.BooleanValue v) {
            array.add(v.value());
        } else if (value instanceof SqlValue.IntegerValue v) {
            array.add(v.value());
        } else if (value instanceof SqlValue.DecimalValue v) {
            array.add(v.value());
        } else if (value instanceof SqlValue.TextValue v) {
            array.add(v.value());
        } else {
            array.addNull();
        }
    }

    private static SqlValue number(JsonNode node) {
        if (node.isIntegralNumber() && node.canConvertToLong()) {
            return new SqlValue.IntegerValue(node.longValue());
        }
        BigDecimal value = node.decimalValue();
        if (Math.abs((long) value.scale()) > MAX_SCALE) {
            throw StatementParser.malformed(
                    "the exponent of a number must be from -" + MAX_SCALE + " to " + MAX_SCALE);
        }
        return new SqlValue.DecimalValue(value);
    }
}
