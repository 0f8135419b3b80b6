package org.crocusturn.core.controlhosts;

import java.util.Objects;
import org.crocusturn.core.GroupId;

/**
 * The state of a group lease as its holder, an entry host, reports it.
 *
 * @param group the group
 * @param epoch epoch of the lease
 * @param droppedTerm highest term for which the holder acknowledges no more writes; 0 if none
 * @param released whether the holder closed all connections and released the lease
 * @param busy number of running requests and open transactions
 * @param coveredVersion version of the state with whose endpoints all acknowledged commits are in
 *     the logs of the primary and of a replica; 0 if that is not known
 * @param callsPerSecond calls that have arrived recently, per second, including refused ones; 0 if
 *     not known
 */
public record HeldLease(
        GroupId group,
        long epoch,
        long droppedTerm,
        boolean released,
        int busy,
        long coveredVersion,
        int callsPerSecond) {
    /** Checks that the group is not null. */
    public HeldLease {
        Objects.requireNonNull(group, "group");
    }

    /** Creates the state of a lease whose holder does not count its calls. */
    public HeldLease(
            GroupId group,
            long epoch,
            long droppedTerm,
            boolean released,
            int busy,
            long coveredVersion) {
        this(group, epoch, droppedTerm, released, busy, coveredVersion, 0);
    }

    /** Creates the state of a lease whose holder knows nothing of the copies. */
    public HeldLease(GroupId group, long epoch, long droppedTerm, boolean released, int busy) {
        this(group, epoch, droppedTerm, released, busy, 0);
    }
}
