package org.crocusturn.daemon.platform;

import java.util.Objects;
import org.apache.logging.log4j.LogManager;

/** Turns SIGTERM and SIGINT into a planned stop that ends with exit status 0. */
public final class StopSignal {
    private StopSignal() {}

    /**
     * Runs an action when the platform asks the process to stop.
     *
     * @param stop stops the process gracefully and returns when that is done
     */
    public static void onStop(Runnable stop) {
        Objects.requireNonNull(stop, "stop");
        Runtime.getRuntime()
                .addShutdownHook(
                        new Thread(
                                () -> {
                                    stop.run();
                                    LogManager.shutdown();
                                    // The virtual machine would report the signal as the status.
                                    Runtime.getRuntime().halt(0);
                                },
                                "stop-signal"));
    }
}
