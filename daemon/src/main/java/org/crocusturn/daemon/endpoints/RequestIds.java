package org.crocusturn.daemon.endpoints;

import java.util.UUID;
import java.util.concurrent.atomic.AtomicLong;
import org.crocusturn.core.endpoints.RequestId;

/** Generates request ids that differ from those of all other generators. Thread-safe. */
public final class RequestIds {
    private final String mPrefix = UUID.randomUUID() + "-";
    private final AtomicLong mLast = new AtomicLong();

    /** Returns the next id. */
    public RequestId next() {
        return new RequestId(mPrefix + mLast.incrementAndGet());
    }
}
