package org.crocusturn.daemon.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.LogEvent;
import org.apache.logging.log4j.core.LoggerContext;
import org.apache.logging.log4j.core.config.Configuration;
import org.apache.logging.log4j.core.config.ConfigurationFactory;
import org.apache.logging.log4j.core.impl.Log4jLogEvent;
import org.apache.logging.log4j.message.SimpleMessage;
import org.crocusturn.daemon.net.Json;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against a text of a caller that a reader of the log takes for another line. */
class LogLayoutTest {
    private static final String TEXT_LAYOUT = "log4j2.xml";
    private static final String JSON_LAYOUT = "log4j2-json.xml";

    static Stream<Arguments> messages() {
        return Stream.of(TEXT_LAYOUT, JSON_LAYOUT)
                .flatMap(
                        layout ->
                                IntStream.rangeClosed(0, 255)
                                        .mapToObj(c -> Arguments.of(layout, c)));
    }

    @ParameterizedTest
    @MethodSource("messages")
    void writesOneLineForEachEvent(String layout, int character) throws Exception {
        String message = "a" + Character.toString(character) + "b";
        String line = write(layout, message);
        assertTrue(line.endsWith("\n"), line);
        assertEquals(line.length() - 1, line.indexOf('\n'), line);
        assertEquals(-1, line.indexOf('\r'), line);
        if (layout.equals(JSON_LAYOUT)) {
            byte[] bytes = line.getBytes(StandardCharsets.UTF_8);
            assertEquals(message, Json.read(bytes).get("message").asText());
        }
    }

    private static String write(String layout, String message) throws Exception {
        URI uri = LogLayoutTest.class.getResource("/" + layout).toURI();
        try (LoggerContext context = new LoggerContext("log-layout-test")) {
            Configuration configuration =
                    ConfigurationFactory.getInstance()
                            .getConfiguration(context, "log-layout-test", uri);
            configuration.initialize();
            LogEvent event =
                    Log4jLogEvent.newBuilder()
                            .setLoggerName("test")
                            .setLevel(Level.INFO)
                            .setThreadName("test")
                            .setMessage(new SimpleMessage(message))
                            .build();
            return new String(
                    configuration.getAppender("Console").getLayout().toByteArray(event),
                    StandardCharsets.UTF_8);
        }
    }
}
