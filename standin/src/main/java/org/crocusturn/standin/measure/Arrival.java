package org.crocusturn.standin.measure;

import java.util.Objects;

/**
 * Is one request of the load, fixed before the load starts.
 *
 * @param dueNanos time since the start of the load at which it is due
 * @param workspace name of the workspace that sends it
 * @param entryHost index of the entry host that gets it
 * @param kind what it asks for
 */
public record Arrival(long dueNanos, String workspace, int entryHost, RequestKind kind) {
    /** Checks the parts. */
    public Arrival {
        Objects.requireNonNull(workspace, "workspace");
        Objects.requireNonNull(kind, "kind");
        if (dueNanos < 0 || entryHost < 0) {
            throw new IllegalArgumentException("time and entry host must not be negative");
        }
    }
}
