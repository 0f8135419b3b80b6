package org.crocusturn.daemon.controlhosts;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.crocusturn.core.HostId;
import org.crocusturn.core.PeerMessage;
import org.crocusturn.core.controlhosts.Consensus;
import org.crocusturn.core.controlhosts.ConsensusState;
import org.crocusturn.core.controlhosts.JoinRequest;
import org.crocusturn.core.controlhosts.MembershipChange;
import org.crocusturn.core.controlhosts.MembershipPolicy;
import org.crocusturn.daemon.net.Addresses;

/** Adds joining hosts and replaces silent members as {@link MembershipPolicy} decides. */
final class AutomaticMembership implements MembershipManager {
    private static final Logger LOG = LogManager.getLogger(AutomaticMembership.class);

    /**
     * Time without contact to a leader after which a host asks to join, in nanoseconds. It is
     * longer than an election, which takes at most 600 ms.
     */
    private static final long LEADERLESS_TIMEOUT_NANOS = 1_500_000_000L;

    private final HostId mSelf;
    private final String mLinkAddress;
    private final Consumer<PeerMessage> mMemberSender;

    AutomaticMembership(HostId self, InetSocketAddress link, Consumer<PeerMessage> memberSender) {
        mSelf = self;
        mLinkAddress = Addresses.format(link);
        mMemberSender = memberSender;
    }

    @Override
    public void reconcile(ControlNode node, Map<HostId, String> joining, long nowNanos) {
        ConsensusState state = node.state();
        MembershipPolicy.next(
                        state.membership(),
                        joining,
                        Consensus.silentMembers(
                                state, MembershipPolicy.REPLACEMENT_SILENCE_NANOS, nowNanos),
                        Consensus.caughtUpMembers(state))
                .ifPresent(change -> propose(node, change));
    }

    private static void propose(ControlNode node, MembershipChange change) {
        LOG.info("controlhosts: proposing the membership change {}", change);
        node.changeMembership(change);
    }

    @Override
    public void requestJoin(ControlNode node, long nowNanos) {
        ConsensusState state = node.state();
        boolean shouldJoin =
                state.leaderRole().isEmpty()
                        && (nowNanos - state.electionTimer().lastContactNanos()
                                        > LEADERLESS_TIMEOUT_NANOS
                                || state.membership().member(mSelf).isEmpty());
        if (shouldJoin) {
            mMemberSender.accept(new JoinRequest(mSelf, mLinkAddress));
        }
    }
}
