package org.crocusturn.daemon.platform;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against a process that does not end because the cause of its end cannot be reported. */
class FatalFailureHandlerTest {
    private static final long TIMEOUT_SECONDS = 10;

    static Stream<Arguments> reporters() {
        return Stream.of(
                reporter("writes", (thread, failure) -> {}),
                reporter(
                        "output is closed",
                        (thread, failure) -> {
                            throw new IOException("closed");
                        }),
                reporter(
                        "no memory",
                        (thread, failure) -> {
                            throw new OutOfMemoryError("Java heap space");
                        }),
                reporter(
                        "exception",
                        (thread, failure) -> {
                            throw new IllegalStateException("test");
                        }),
                reporter("output blocks", (thread, failure) -> block()));
    }

    private static Arguments reporter(String name, FatalFailureHandler.Reporter reporter) {
        return Arguments.of(name, reporter);
    }

    private static void block() {
        try {
            new CountDownLatch(1).await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("reporters")
    void endsTheProcess(String name, FatalFailureHandler.Reporter reporter)
            throws InterruptedException {
        CountDownLatch ended = new CountDownLatch(1);
        FatalFailureHandler handler =
                new FatalFailureHandler(reporter, ended::countDown, Duration.ofMillis(50));
        Thread thread =
                new Thread(
                        () -> {
                            throw new IllegalStateException("test");
                        });
        thread.setDaemon(true);
        thread.setUncaughtExceptionHandler(handler);
        thread.start();
        assertTrue(ended.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        thread.interrupt();
    }
}
