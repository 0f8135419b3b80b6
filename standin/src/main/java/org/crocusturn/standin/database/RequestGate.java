package org.crocusturn.standin.database;

import java.util.ArrayList;
import java.util.List;
import org.crocusturn.daemon.net.HttpHandler;

/** Queues requests while a stand-in is frozen. This class is thread-safe. */
final class RequestGate {
    private final List<Runnable> mHeldRequests = new ArrayList<>();
    private boolean mFrozen;

    /** Returns a handler that passes requests on, or queues them while the stand-in is frozen. */
    HttpHandler wrap(HttpHandler handler) {
        return exchange -> {
            if (!holdIfFrozen(() -> handler.handle(exchange))) {
                handler.handle(exchange);
            }
        };
    }

    synchronized void freeze() {
        mFrozen = true;
    }

    void unfreeze() {
        List<Runnable> held;
        synchronized (this) {
            mFrozen = false;
            held = List.copyOf(mHeldRequests);
            mHeldRequests.clear();
        }
        held.forEach(Runnable::run);
    }

    private synchronized boolean holdIfFrozen(Runnable request) {
        if (mFrozen) {
            mHeldRequests.add(request);
        }
        return mFrozen;
    }
}
