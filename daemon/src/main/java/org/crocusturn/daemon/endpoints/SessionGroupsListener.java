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

    /** Takes what the next report to the control leader has to say. */
    void reportChanged(List<HeldLease> leases, List<TokenDemand> demands, boolean urgent);
}
