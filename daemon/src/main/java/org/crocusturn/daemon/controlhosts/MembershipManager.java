package org.crocusturn.daemon.controlhosts;

import java.util.Map;
import org.crocusturn.core.HostId;

/** Maintains the membership of the consensus group. Called from the thread of the leader duty. */
interface MembershipManager {
    /**
     * Proposes the next membership change, if one is due, and returns whether it was. Called on the
     * leader.
     */
    boolean reconcile(ControlNode node, Map<HostId, String> joining, long nowNanos);

    /**
     * Asks to join if this host is not part of a working group. Called on hosts that do not lead.
     */
    void requestJoin(ControlNode node, long nowNanos);
}
