package org.crocusturn.daemon.endpoints;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.function.BiFunction;
import java.util.stream.IntStream;
import org.crocusturn.core.CrocusturnException;
import org.crocusturn.core.ErrorCode;

/**
 * Reads typed fields of JSON objects.
 *
 * <p>All methods throw a {@link CrocusturnException} with verdict "not run" that names the field if
 * it is missing or has the wrong type.
 */
public final class JsonFields {
    private JsonFields() {}

    /** Returns a field that must be present and not null. */
    public static JsonNode required(JsonNode object, String name) {
        if (!object.isObject()) {
            throw malformed("field \"" + name + "\" is missing: the body is not an object");
        }
        JsonNode field = object.get(name);
        if (field == null || field.isNull()) {
            throw malformed("field \"" + name + "\" is missing");
        }
        return field;
    }

    /** Returns a non-empty string. */
    public static String text(JsonNode object, String name) {
        JsonNode field = required(object, name);
        if (!field.isTextual() || field.textValue().isEmpty()) {
            throw malformed("field \"" + name + "\" must be a non-empty string");
        }
        return field.textValue();
    }

    /** Returns an integer that is not less than a minimum. */
    public static long integer(JsonNode object, String name, long minimum) {
        JsonNode field = required(object, name);
        if (!field.isIntegralNumber() || !field.canConvertToLong() || field.longValue() < minimum) {
            throw malformed("field \"" + name + "\" must be an integer not less than " + minimum);
        }
        return field.longValue();
    }

    /** Returns an integer within a range. */
    public static long integer(JsonNode object, String name, long minimum, long maximum) {
        long value = integer(object, name, minimum);
        if (value > maximum) {
            throw malformed("field \"" + name + "\" must be at most " + maximum);
        }
        return value;
    }

    /** Returns a boolean. */
    public static boolean bool(JsonNode object, String name) {
        JsonNode field = required(object, name);
        if (!field.isBoolean()) {
            throw malformed("field \"" + name + "\" must be true or false");
        }
        return field.booleanValue();
    }

    /** Reads the elements of an array field; the reader gets names such as {@code rows[3]}. */
    public static <T> List<T> list(
            JsonNode object, String name, BiFunction<JsonNode, String, T> reader) {
        return elements(required(object, name), name, reader);
    }

    /** Reads the elements of an array; the name is used in error messages. */
    public static <T> List<T> elements(
            JsonNode array, String name, BiFunction<JsonNode, String, T> reader) {
        if (!array.isArray()) {
            throw malformed("field \"" + name + "\" must be an array");
        }
        return IntStream.range(0, array.size())
                .mapToObj(i -> reader.apply(array.get(i), name + "[" + i + "]"))
                .toList();
    }

    /** Creates the exception for a malformed field. */
    public static CrocusturnException malformed(String message) {
        return CrocusturnException.notRun(ErrorCode.MALFORMED_REQUEST, message);
    }
}
