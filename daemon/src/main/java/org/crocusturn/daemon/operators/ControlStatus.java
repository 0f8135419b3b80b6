package org.crocusturn.daemon.operators;

import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.crocusturn.core.HostId;
import org.crocusturn.core.controlhosts.Membership;
import org.crocusturn.core.operators.ControlState;

/**
 * Status of the system as known to one control host.
 *
 * @param host the control host
 * @param leads whether it is the leader and its leader lease is valid
 * @param leader leader as known to the host
 * @param term consensus term
 * @param membership members of the consensus group
 * @param state replicated state that the host has applied
 * @param entryHosts live entry hosts; empty unless the host is the leader
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
