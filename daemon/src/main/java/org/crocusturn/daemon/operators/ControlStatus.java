package org.crocusturn.daemon.operators;

import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.crocusturn.core.HostId;
import org.crocusturn.core.controlhosts.Membership;
import org.crocusturn.core.operators.ControlState;

/**
 * Is what one control host knows of the system.
 *
 * @param host the control host
 * @param leads whether it leads and may answer for the system
 * @param leader host that leads as far as it knows
 * @param term consensus term
 * @param membership consensus group
 * @param state replicated state that it has applied
 * @param entryHosts entry hosts that are alive; empty unless it leads
 */
public record ControlStatus(
        HostId host,
        boolean leads,
        Optional<HostId> leader,
        long term,
        Membership membership,
        ControlState state,
        Set<HostId> entryHosts) {
    /** Copies the set. */
    public ControlStatus {
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(leader, "leader");
        Objects.requireNonNull(membership, "membership");
        Objects.requireNonNull(state, "state");
        entryHosts = Set.copyOf(entryHosts);
    }
}
