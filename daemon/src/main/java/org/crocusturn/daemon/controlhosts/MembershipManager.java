package org.crocusturn.daemon.controlhosts;

import java.util.Map;
import org.crocusturn.core.HostId;

/** Keeps the consensus group complete; called from the leader duty. */
interface MembershipManager {
    /** Changes the group if a change is due, on the leader. */
    void reconcile(ControlNode node, Map<HostId, String> joining, long nowNanos);

    /** Asks to join if this host is left out, on any host. */
    void requestJoin(ControlNode node, long nowNanos);
}
