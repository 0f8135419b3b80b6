package org.crocusturn.standin.database;

import java.util.ArrayList;
import java.util.List;
import org.crocusturn.daemon.net.HttpHandler;

/** Holds back requests while a stand-in is frozen; safe for any thread. */
final class Freeze {
    private final List<Runnable> mHeld = new ArrayList<>();
    private boolean mFrozen;

    /** Returns a handler that gets each request once the stand-in is not frozen. */
    HttpHandler holding(HttpHandler handler) {
        return exchange -> {
            if (!hold(() -> handler.handle(exchange))) {
                handler.handle(exchange);
            }
        };
    }

    synchronized void freeze() {
        mFrozen = true;
    }

    void thaw() {
        List<Runnable> held;
        synchronized (this) {
            mFrozen = false;
            held = List.copyOf(mHeld);
            mHeld.clear();
        }
        held.forEach(Runnable::run);
    }

    private synchronized boolean hold(Runnable request) {
        if (mFrozen) {
            mHeld.add(request);
        }
        return mFrozen;
    }
}
