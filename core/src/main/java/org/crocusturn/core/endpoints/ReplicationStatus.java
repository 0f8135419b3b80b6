package org.crocusturn.core.endpoints;

import java.util.Objects;
import org.crocusturn.core.LogPosition;

/**
 * Replication status that an endpoint reports for a group.
 *
 * @param primary whether the endpoint accepts writes
 * @param term newest term known to the endpoint
 * @param received last position in its log
 * @param lagMillis replication lag in milliseconds
 */
public record ReplicationStatus(boolean primary, long term, LogPosition received, long lagMillis) {
    /** Rejects a null position. */
    public ReplicationStatus {
        Objects.requireNonNull(received, "received");
    }
}
