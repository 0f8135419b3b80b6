package org.crocusturn.daemon.endpoints;

import java.util.List;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.HostId;
import org.crocusturn.core.callers.Outcome;
import org.crocusturn.core.controlhosts.HeldLease;
import org.crocusturn.core.controlhosts.TokenDemand;

/** Receives the results of {@link GroupsDuty}; called from its thread. */
public interface GroupsListener {
    /** Called with the outcome of a request and the origin that the request arrived with. */
    void replied(HostId origin, long request, Outcome outcome);

    /**
     * Called with the content of the next report to the control leader.
     *
     * @param leases leases that this host holds or has released
     * @param demands rate tokens that this host needs
     * @param urgent whether the report should be sent at once
     */
    void reportChanged(List<HeldLease> leases, List<TokenDemand> demands, boolean urgent);

    /** Called with an endpoint that refused or reset a connection. */
    void endpointSuspected(EndpointId endpoint);
}
