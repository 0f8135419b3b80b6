package org.crocusturn.core.ring;

import java.util.Objects;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * Passes failures to the uncaught exception handler of the current thread.
 *
 * <p>Executors, event loops and futures catch what their tasks and callbacks throw, so that the
 * handler would not learn of it.
 */
public final class ThreadFailures {
    private ThreadFailures() {}

    /** Reports a failure. */
    public static void report(Throwable failure) {
        Thread thread = Thread.currentThread();
        thread.getUncaughtExceptionHandler().uncaughtException(thread, failure);
    }

    /** Reports a failure if it is an {@link Error} or was caused by one. */
    public static void reportError(Throwable failure) {
        if (failure instanceof Error || failure.getCause() instanceof Error) {
            report(failure);
        }
    }

    /**
     * Returns a task that also reports its errors. Its exceptions are left to the executor, because
     * they concern one connection.
     */
    public static Runnable guardTask(Runnable task) {
        Objects.requireNonNull(task, "task");
        return () -> {
            try {
                task.run();
            } catch (Error e) {
                report(e);
                throw e;
            }
        };
    }

    /** Returns a callback that also reports whatever it throws, because its result is lost. */
    public static <T> Consumer<T> guard(Consumer<T> callback) {
        Objects.requireNonNull(callback, "callback");
        return value -> {
            try {
                callback.accept(value);
            } catch (RuntimeException | Error e) {
                report(e);
                throw e;
            }
        };
    }

    /** Returns a callback that also reports whatever it throws, because its result is lost. */
    public static <T> BiConsumer<T, Throwable> guardCompletion(BiConsumer<T, Throwable> callback) {
        Objects.requireNonNull(callback, "callback");
        return (value, failure) -> {
            try {
                callback.accept(value, failure);
            } catch (RuntimeException | Error e) {
                report(e);
                throw e;
            }
        };
    }
}
