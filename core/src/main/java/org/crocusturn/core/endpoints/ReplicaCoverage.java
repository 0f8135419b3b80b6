package org.crocusturn.core.endpoints;

import java.util.Objects;
import java.util.Optional;
import org.crocusturn.core.LogPosition;

/**
 * Which acknowledged commits may be in the log of the primary alone.
 *
 * <p>A commit is acknowledged once one replica has received it. If that replica leaves, is replaced
 * or restarts without its log, no registered replica need have the commit until another one has
 * received it. A new leaseholder or a new primary does not know which replicas were lost before.
 *
 * <p>Immutable.
 *
 * @param exposed newest position that may be in the log of the primary alone; empty if a registered
 *     replica has received every acknowledged commit
 */
public record ReplicaCoverage(Optional<LogPosition> exposed) {
    private static final ReplicaCoverage COMPLETE = new ReplicaCoverage(Optional.empty());
    private static final ReplicaCoverage UNKNOWN =
            new ReplicaCoverage(Optional.of(LogPosition.of(Long.MAX_VALUE, Long.MAX_VALUE)));

    /** Rejects a null position. */
    public ReplicaCoverage {
        Objects.requireNonNull(exposed, "exposed");
    }

    /** Returns the coverage of a group whose replicas are all registered. */
    public static ReplicaCoverage complete() {
        return COMPLETE;
    }

    /** Returns the coverage of a group of which nothing is known: any commit may be at one copy. */
    public static ReplicaCoverage unknown() {
        return UNKNOWN;
    }

    /** Returns the coverage after a leaseholder accepted a primary with a log up to a position. */
    public static ReplicaCoverage behindPrimary(LogPosition received) {
        return new ReplicaCoverage(Optional.of(received));
    }

    /**
     * Returns the coverage after a replica was lost.
     *
     * @param acknowledged newest position that may have been acknowledged
     */
    public ReplicaCoverage withReplicaLost(LogPosition acknowledged) {
        return new ReplicaCoverage(Optional.of(exposed.orElse(LogPosition.ZERO).max(acknowledged)));
    }

    /** Returns the coverage after a registered replica reported what it has received. */
    public ReplicaCoverage withReplicaAt(LogPosition received) {
        return covers(received) ? COMPLETE : this;
    }

    /** Returns whether every commit that may be at the primary alone is at or before a position. */
    public boolean covers(LogPosition received) {
        return exposed.filter(p -> received.compareTo(p) < 0).isEmpty();
    }
}
