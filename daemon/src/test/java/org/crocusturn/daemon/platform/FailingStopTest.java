package org.crocusturn.daemon.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.crocusturn.daemon.operators.ExitStatus;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a planned stop that never ends, or hides the failure of a thread. */
class FailingStopTest {
    private static final long EXIT_TIMEOUT_SECONDS = 30;

    @ParameterizedTest
    @CsvSource({"main, the stop fails", "duty, StackOverflowError: fail"})
    void endsProcessWithItsOwnStatus(String thread, String cause) throws Exception {
        Process process =
                new ProcessBuilder(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-Xmx32m",
                                "-cp",
                                System.getProperty("java.class.path"),
                                FailingStopMain.class.getName(),
                                thread)
                        .redirectErrorStream(true)
                        .start();
        try (BufferedReader output = process.inputReader()) {
            String line = output.readLine();
            while (line != null && !line.equals("ready")) {
                line = output.readLine();
            }
            // Process.destroy would also close the output.
            process.toHandle().destroy();
            List<String> lines = output.lines().toList();
            String text = lines.stream().collect(Collectors.joining("\n"));
            assertTrue(process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS), text);
            assertEquals(ExitStatus.FAILED.code(), process.exitValue(), text);
            assertTrue(text.contains("after a failure of the thread " + thread), text);
            assertTrue(text.contains(cause), text);
        } finally {
            process.destroyForcibly();
        }
    }
}
