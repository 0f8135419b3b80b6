package org.crocusturn.daemon.endpoints;

import java.util.List;
import org.crocusturn.core.HostId;
import org.crocusturn.core.controlhosts.HeldLease;
import org.crocusturn.core.controlhosts.TokenDemand;
import org.crocusturn.core.entryhosts.SessionReply;

/** Receives the results of {@link SessionGroupsDuty}; called from its thread. */
public interface SessionGroupsListener {
    /** Called with the answer to a call. */
    void replied(HostId origin, SessionReply reply);

    /**
     * Called with the content of the next report to the control leader.
     *
     * @param leases leases that this host holds or has released
     * @param demands rate tokens that this host needs and holds
     * @param holdingsTerm latest leader term for which the demands cover all tokens that this host
     *     holds
     * @param urgent whether the report should be sent at once
     */
    void reportChanged(
            List<HeldLease> leases, List<TokenDemand> demands, long holdingsTerm, boolean urgent);

    /**
     * Called between two reports when calls wait for rate tokens.
     *
     * @param demands demands of the workspaces whose tokens ran out, and of no others
     */
    void tokensNeeded(List<TokenDemand> demands);
}
