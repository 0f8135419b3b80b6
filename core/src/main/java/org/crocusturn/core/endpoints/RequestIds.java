package org.crocusturn.core.endpoints;

import java.util.UUID;
import java.util.concurrent.atomic.AtomicLong;

/** Generates request ids that differ from those of all other generators. Thread-safe. */
public final class RequestIds {
    private final String mPrefix = UUID.randomUUID() + "-";
    private final AtomicLong mLast = new AtomicLong();

    /** Returns the next id. */
    public RequestId next() {
        return new RequestId(mPrefix + mLast.incrementAndGet());
    }
}
