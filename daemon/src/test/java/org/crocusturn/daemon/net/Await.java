package org.crocusturn.daemon.net;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.function.BooleanSupplier;

/** Waits for conditions that depend on other threads. */
final class Await {
    private static final long LIMIT_NANOS = 20_000_000_000L;

    private Await() {}

    static void until(String what, BooleanSupplier condition) throws InterruptedException {
        long end = System.nanoTime() + LIMIT_NANOS;
        while (!condition.getAsBoolean() && System.nanoTime() < end) {
            Thread.sleep(5);
        }
        assertTrue(condition.getAsBoolean(), what);
    }
}
