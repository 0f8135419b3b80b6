package org.crocusturn.daemon.platform;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import sun.misc.Signal;

/**
 * Records SIGTERM and SIGINT, so that the process stops as planned and chooses its exit status.
 *
 * <p>Installed before anything else is started. A signal that arrives during the start is kept, and
 * further ones have no effect.
 */
public final class StopSignal {
    private static final List<String> SIGNALS = List.of("TERM", "INT");

    private final CompletableFuture<Void> mRequested = new CompletableFuture<>();

    private StopSignal() {}

    /** Installs the handler of the signals in place of the one that ends the process. */
    public static StopSignal install() {
        StopSignal stop = new StopSignal();
        SIGNALS.forEach(name -> Signal.handle(new Signal(name), signal -> stop.request()));
        return stop;
    }

    /** Requests a stop as the signals do. */
    public void request() {
        mRequested.complete(null);
    }

    /** Returns a future that completes when a stop is requested. */
    public CompletableFuture<Void> requested() {
        return mRequested.copy();
    }
}
