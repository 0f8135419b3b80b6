package org.crocusturn.daemon.net;

import java.util.concurrent.CompletableFuture;

/**
 * Counts the requests that a server has read and not yet answered completely.
 *
 * <p>A request is answered once the answer has left the process, or its connection has ended.
 * Thread-safe.
 */
public final class OpenRequests {
    private long mCount;
    private CompletableFuture<Void> mNoneOpen = CompletableFuture.completedFuture(null);

    private OpenRequests() {}

    /** Creates a counter without any open request. */
    public static OpenRequests create() {
        return new OpenRequests();
    }

    /** Counts a request that was read. */
    public synchronized void begin() {
        if (mCount == 0) {
            mNoneOpen = new CompletableFuture<>();
        }
        mCount++;
    }

    /** Counts the ends of requests. */
    public void end(long requests) {
        CompletableFuture<Void> noneOpen;
        synchronized (this) {
            mCount -= requests;
            if (mCount > 0) {
                return;
            }
            noneOpen = mNoneOpen;
        }
        noneOpen.complete(null);
    }

    /** Returns the number of open requests. */
    public synchronized long count() {
        return mCount;
    }

    /** Returns a future that completes once no request is open. */
    public synchronized CompletableFuture<Void> noneOpen() {
        return mNoneOpen.copy();
    }
}
