package org.crocusturn.core.endpoints;

import java.util.Objects;
import org.crocusturn.core.LogPosition;

/**
 * Is what an endpoint tells of its place in a group.
 *
 * @param primary whether it takes writes
 * @param term newest term that it knows
 * @param received last position in its log
 * @param lagMillis time by which it applies late, in milliseconds
 */
public record ReplicationStatus(boolean primary, long term, LogPosition received, long lagMillis) {
    /** Checks that the position is not null. */
    public ReplicationStatus {
        Objects.requireNonNull(received, "received");
    }
}
