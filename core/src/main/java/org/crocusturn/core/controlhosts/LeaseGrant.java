package org.crocusturn.core.controlhosts;

import java.util.Objects;
import org.crocusturn.core.GroupId;

/**
 * Renews a group lease. The duration counts from the sending of the report that the update answers.
 *
 * @param group the group
 * @param epoch epoch that the grant is for
 * @param durationMillis duration of the lease in milliseconds
 * @param acknowledgeTerm term for which writes may be acknowledged; 0 during a failover
 * @param move whether the holder should finish its work and release the lease
 */
public record LeaseGrant(
        GroupId group, long epoch, long durationMillis, long acknowledgeTerm, boolean move) {
    /** Checks that the group is not null. */
    public LeaseGrant {
        Objects.requireNonNull(group, "group");
    }
}
