package org.crocusturn.daemon.endpoints;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.function.BiFunction;
import java.util.stream.IntStream;
import org.crocusturn.core.CrocusturnException;
import org.crocusturn.core.ErrorCode;

/**
 * Reads the fields of JSON objects and names the field in each refusal.
 *
 * <p>All methods throw a {@link CrocusturnException} with verdict "not run" if the field is missing
 * or has another type.
 */
public final class Fields {
    private Fields() {}

    /** Returns a field that is not null. */
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

    /** Returns a text that is not empty. */
    public static String text(JsonNode object, String name) {
        JsonNode field = required(object, name);
        if (!field.isTextual() || field.textValue().isEmpty()) {
            throw malformed("field \"" + name + "\" must be a text that is not empty");
        }
        return field.textValue();
    }

    /** Returns a whole number of at least a minimum. */
    public static long number(JsonNode object, String name, long minimum) {
        JsonNode field = required(object, name);
        if (!field.isIntegralNumber() || !field.canConvertToLong() || field.longValue() < minimum) {
            throw malformed("field \"" + name + "\" must be a whole number of at least " + minimum);
        }
        return field.longValue();
    }

    /** Returns a truth value. */
    public static boolean truth(JsonNode object, String name) {
        JsonNode field = required(object, name);
        if (!field.isBoolean()) {
            throw malformed("field \"" + name + "\" must be true or false");
        }
        return field.booleanValue();
    }

    /** Returns the elements of an array, each read with its name such as {@code rows[3]}. */
    public static <T> List<T> list(
            JsonNode object, String name, BiFunction<JsonNode, String, T> reader) {
        return elements(required(object, name), name, reader);
    }

    /** Returns the elements of an array that is known by a name. */
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
