package org.crocusturn.daemon.controlhosts;

import java.util.Map;
import org.crocusturn.core.HostId;
import org.crocusturn.core.controlhosts.MembershipChange;

/**
 * Leaves the addition and removal of members to operators, and proposes the promotion of learners,
 * which the consensus rejects until they have caught up.
 */
final class ManualMembership implements MembershipManager {
    @Override
    public boolean reconcile(ControlNode node, Map<HostId, String> joining, long nowNanos) {
        node.state().membership().members().stream()
                .filter(member -> !member.voter())
                .map(member -> new MembershipChange.Promote(member.host()))
                .forEach(node::changeMembership);
        return false;
    }

    @Override
    public void requestJoin(ControlNode node, long nowNanos) {
        // Operators add hosts with the command line.
    }
}
