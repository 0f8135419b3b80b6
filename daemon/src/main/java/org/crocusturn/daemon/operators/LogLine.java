package org.crocusturn.daemon.operators;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.time.DateTimeException;
import java.time.Instant;
import java.util.Objects;
import java.util.Optional;
import org.crocusturn.core.CrocusturnException;
import org.crocusturn.daemon.net.Json;

/**
 * Line of the log of one process.
 *
 * @param time time of the line according to the clock of the process
 * @param process name of the process
 * @param message message, which starts with the prefix of the component that wrote it
 */
record LogLine(Instant time, String process, String message) {
    /** Checks that no component is null. */
    LogLine {
        Objects.requireNonNull(time, "time");
        Objects.requireNonNull(process, "process");
        Objects.requireNonNull(message, "message");
    }

    /** Parses a line in JSON; returns empty for other text, such as a stack trace. */
    static Optional<LogLine> parse(String process, String text) {
        if (!text.startsWith("{")) {
            return Optional.empty();
        }
        try {
            JsonNode json = Json.read(text.getBytes(StandardCharsets.UTF_8));
            return Optional.of(
                    new LogLine(
                            Instant.parse(json.path("time").asText()),
                            process,
                            json.path("message").asText()));
        } catch (CrocusturnException | DateTimeException e) {
            // A file may end with a truncated line, which must not prevent the use of the others.
            return Optional.empty();
        }
    }
}
