package org.crocusturn.daemon.operators;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import java.util.stream.StreamSupport;

/** Formats JSON answers as text lines for operators. */
final class TextFormatter {
    private TextFormatter() {}

    static List<String> format(JsonNode node) {
        return node.properties().stream()
                .flatMap(field -> field(field.getKey(), field.getValue()))
                .toList();
    }

    private static Stream<String> field(String name, JsonNode value) {
        if (!value.isArray()) {
            return Stream.of(name + ": " + value.asText());
        }
        if (value.isEmpty()) {
            return Stream.of(name + ": none");
        }
        return Stream.concat(
                Stream.of(name + ":"),
                StreamSupport.stream(value.spliterator(), false).map(e -> "  " + element(e)));
    }

    private static String element(JsonNode value) {
        return value.isObject() ? fields(value, " ") : value.asText();
    }

    private static String fields(JsonNode object, String separator) {
        return object.properties().stream()
                .map(field -> field.getKey() + "=" + fieldValue(field.getValue()))
                .collect(Collectors.joining(separator));
    }

    private static String fieldValue(JsonNode value) {
        return value.isObject() ? "{" + fields(value, ", ") + "}" : value.asText();
    }
}
