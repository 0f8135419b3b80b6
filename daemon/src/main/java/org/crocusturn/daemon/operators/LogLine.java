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
 * Is a line of a process's log.
 *
 * @param time when it was written, by the clock of the process
 * @param process name of the process
 * @param message text, which begins with the part that wrote it
 */
record LogLine(Instant time, String process, String message) {
    /** Checks that no part is null. */
    LogLine {
        Objects.requireNonNull(time, "time");
        Objects.requireNonNull(process, "process");
        Objects.requireNonNull(message, "message");
    }

    /** Returns the line in a JSON text, or empty if it holds none, such as a stack trace. */
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
            // A line that was cut off at the end of a file is no reason to explain nothing.
            return Optional.empty();
        }
    }
}
