package org.crocusturn.core.operators;

import java.util.Objects;
import org.crocusturn.core.HostId;

/**
 * The entry host that a group lease is assigned to.
 *
 * @param host the entry host
 * @param linkAddress IP address and port at which the host accepts links of other entry hosts
 * @param incarnation random number that the process generates when it starts, so that a restarted
 *     process does not hold the leases of its predecessor
 * @param epoch number of the assignment, which increases with each assignment of the group's lease
 */
public record Leaseholder(HostId host, String linkAddress, long incarnation, long epoch) {
    /** Checks that no component is null. */
    public Leaseholder {
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(linkAddress, "linkAddress");
    }
}
