package org.crocusturn.core.ring;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.FutureTask;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against a failure of a task or callback that its executor or future keeps to itself. */
class ThreadFailuresTest {
    private static final RuntimeException EXCEPTION = new IllegalStateException("test");
    private static final Error ERROR = new OutOfMemoryError("test");

    private final List<Throwable> mReported = new ArrayList<>();

    private static void fail(Throwable failure) {
        if (failure instanceof Error error) {
            throw error;
        }
        throw (RuntimeException) failure;
    }

    static Stream<Arguments> cases() {
        Consumer<Throwable> task =
                failure ->
                        new FutureTask<>(ThreadFailures.guardTask(() -> fail(failure)), null).run();
        Consumer<Throwable> callback =
                failure ->
                        CompletableFuture.completedFuture(failure)
                                .thenAccept(ThreadFailures.guard(ThreadFailuresTest::fail));
        Consumer<Throwable> completion =
                failure ->
                        CompletableFuture.completedFuture(failure)
                                .whenComplete(
                                        ThreadFailures.guardCompletion((value, e) -> fail(value)));
        return Stream.of(
                Arguments.of("task", task, ERROR, true),
                Arguments.of("task", task, EXCEPTION, false),
                Arguments.of("callback", callback, ERROR, true),
                Arguments.of("callback", callback, EXCEPTION, true),
                Arguments.of("completion", completion, ERROR, true),
                Arguments.of("completion", completion, EXCEPTION, true),
                Arguments.of(
                        "error", (Consumer<Throwable>) ThreadFailures::reportError, ERROR, true),
                Arguments.of(
                        "error",
                        (Consumer<Throwable>) e -> ThreadFailures.reportError(wrap(e)),
                        ERROR,
                        true),
                Arguments.of(
                        "error",
                        (Consumer<Throwable>) ThreadFailures::reportError,
                        EXCEPTION,
                        false));
    }

    private static Throwable wrap(Throwable failure) {
        return new CompletionException(failure);
    }

    @ParameterizedTest(name = "{0} {2}")
    @MethodSource("cases")
    void reportsToTheUncaughtExceptionHandler(
            String name, Consumer<Throwable> run, Throwable failure, boolean reported) {
        Thread thread = Thread.currentThread();
        Thread.UncaughtExceptionHandler before = thread.getUncaughtExceptionHandler();
        thread.setUncaughtExceptionHandler((t, e) -> mReported.add(e));
        try {
            run.accept(failure);
        } finally {
            thread.setUncaughtExceptionHandler(before);
        }
        assertEquals(reported ? 1 : 0, mReported.size());
        mReported.forEach(
                e -> assertEquals(failure, e instanceof CompletionException ? e.getCause() : e));
    }
}
