package org.crocusturn.core.endpoints;

/** Is the phase of a group in the eyes of the control leader, in the order of a failover. */
public enum FailoverPhase {
    /** A primary serves, or too few copies are reachable to change that. */
    HEALTHY,
    /** A planned switchover waits for a replica that has nearly caught up. */
    PREPARING,
    /** A planned switchover holds writes back until a replica has caught up. */
    HOLDING,
    /** The next term is proposed. */
    BEGINNING,
    /** The leaseholder must drop the old term or lose its lease. */
    WAITING,
    /** Copies are fenced at the new term. */
    FENCING,
    /** The chosen copy is told to become primary. */
    PROMOTING,
    /** The new primary is proposed. */
    COMPLETING;

    /** Returns whether writes may be acknowledged. */
    public boolean acknowledges() {
        return this == HEALTHY || this == PREPARING;
    }
}
