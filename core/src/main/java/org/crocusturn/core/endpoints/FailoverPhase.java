package org.crocusturn.core.endpoints;

/**
 * Failover phase of a group at the control leader, in the order in which a failover passes them.
 */
public enum FailoverPhase {
    /** The primary is in use, or too few copies are reachable for a failover. */
    HEALTHY,
    /** A planned switchover waits until a replica has nearly caught up. */
    PREPARING,
    /** A planned switchover holds writes back until a replica has caught up. */
    HOLDING,
    /** The leader has proposed the next term. */
    BEGINNING,
    /** The leader waits until the leaseholder drops the old term or its lease expires. */
    WAITING,
    /** The leader fences the copies at the new term. */
    FENCING,
    /** The leader promotes the chosen copy. */
    PROMOTING,
    /** The leader has proposed the new primary. */
    COMPLETING;

    /** Returns whether writes may be acknowledged in this phase. */
    public boolean acknowledges() {
        return this == HEALTHY || this == PREPARING;
    }
}
