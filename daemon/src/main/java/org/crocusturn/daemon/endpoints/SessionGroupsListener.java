package org.crocusturn.daemon.endpoints;

import java.util.List;
import org.crocusturn.core.HostId;
import org.crocusturn.core.controlhosts.HeldLease;
import org.crocusturn.core.controlhosts.TokenDemand;
import org.crocusturn.core.entryhosts.SessionReply;

/** Hears what {@link SessionGroupsDuty} has to tell; called from its thread. */
public interface SessionGroupsListener {
    /** Takes the answer to a call. */
    void replied(HostId origin, SessionReply reply);

    /**
     * Takes what the next report to the control leader has to say.
     *
     * @param leases leases that this host holds or released
     * @param demands rate tokens that it needs and holds
     * @param holdingsTerm term of the leader up to which the demands tell all tokens that it holds
     * @param urgent whether the report should leave at once
     */
    void reportChanged(
            List<HeldLease> leases, List<TokenDemand> demands, long holdingsTerm, boolean urgent);
}
