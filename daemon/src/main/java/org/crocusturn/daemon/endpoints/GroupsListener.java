package org.crocusturn.daemon.endpoints;

import java.util.List;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.HostId;
import org.crocusturn.core.callers.Outcome;
import org.crocusturn.core.controlhosts.HeldLease;
import org.crocusturn.core.controlhosts.TokenDemand;

/** Hears what the groups duty has to tell; called from its thread. */
public interface GroupsListener {
    /** Takes the end of a request; the origin is the one that the request came with. */
    void replied(HostId origin, long request, Outcome outcome);

    /**
     * Takes what the next report has to say.
     *
     * @param leases leases that this host holds or released
     * @param demands rate tokens that it needs
     * @param urgent whether a report should be sent at once
     */
    void reportChanged(List<HeldLease> leases, List<TokenDemand> demands, boolean urgent);

    /** Takes an endpoint that refused or reset a connection. */
    void suspected(EndpointId endpoint);
}
