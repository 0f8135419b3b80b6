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
 */
public record HeldLease(GroupId group, long epoch, long droppedTerm, boolean released, int busy) {
    /** Checks that the group is not null. */
    public HeldLease {
        Objects.requireNonNull(group, "group");
    }
}
