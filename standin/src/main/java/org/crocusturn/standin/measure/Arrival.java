package org.crocusturn.standin.measure;

import java.util.Objects;

/**
 * A request that is scheduled before the load starts.
 *
 * @param dueNanos time at which it is due, since the start of the load
 * @param workspace name of the workspace whose caller sends it
 * @param entryHost index of the entry host that it is sent to
 * @param kind kind of the request
 */
public record Arrival(long dueNanos, String workspace, int entryHost, RequestKind kind) {
    /** Validates the components. */
    public Arrival {
        Objects.requireNonNull(workspace, "workspace");
        Objects.requireNonNull(kind, "kind");
        if (dueNanos < 0 || entryHost < 0) {
            throw new IllegalArgumentException("dueNanos and entryHost must not be negative");
        }
    }
}
