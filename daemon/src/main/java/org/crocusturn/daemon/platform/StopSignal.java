package org.crocusturn.daemon.platform;

import java.util.Objects;
import org.apache.logging.log4j.LogManager;

/** Handles SIGTERM and SIGINT with a planned stop and exit status 0. */
public final class StopSignal {
    private StopSignal() {}

    /**
     * Registers an action that runs when the process receives a stop signal.
     *
     * @param stop stops the process and returns when the stop is complete
     */
    public static void onStop(Runnable stop) {
        Objects.requireNonNull(stop, "stop");
        Runtime.getRuntime()
                .addShutdownHook(
                        new Thread(
                                () -> {
                                    stop.run();
                                    LogManager.shutdown();
                                    // Otherwise the exit status of the JVM would be that of the
                                    // signal.
                                    Runtime.getRuntime().halt(0);
                                },
                                "stop-signal"));
    }
}
