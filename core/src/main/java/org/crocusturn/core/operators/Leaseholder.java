package org.crocusturn.core.operators;

import java.util.Objects;
import org.crocusturn.core.HostId;

/**
 * Names the entry host that a group lease is assigned to.
 *
 * @param host the entry host
 * @param linkAddress IP address and port of its link for other entry hosts
 * @param incarnation random number that the process drew at its start; a restarted process does not
 *     hold the leases of the earlier one
 * @param epoch number of the assignment; grows with each assignment of the group
 */
public record Leaseholder(HostId host, String linkAddress, long incarnation, long epoch) {
    /** Checks that no part is null. */
    public Leaseholder {
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(linkAddress, "linkAddress");
    }
}
