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

/** Lets hosts join and replaces silent ones, as {@link MembershipPolicy} decides. */
final class AutomaticMembership implements MembershipKeeper {
    private static final Logger LOG = LogManager.getLogger(AutomaticMembership.class);

    /** Time without a leader after which a host asks to join; elections take at most 600 ms. */
    private static final long ALONE_NANOS = 1_500_000_000L;

    private final HostId mSelf;
    private final String mLinkAddress;
    private final Consumer<PeerMessage> mToMembers;

    AutomaticMembership(HostId self, InetSocketAddress link, Consumer<PeerMessage> toMembers) {
        mSelf = self;
        mLinkAddress = Addresses.format(link);
        mToMembers = toMembers;
    }

    @Override
    public void keep(ControlNode node, Map<HostId, String> joining, long nowNanos) {
        ConsensusState state = node.state();
        MembershipPolicy.next(
                        state.membership(),
                        joining,
                        Consensus.silentMembers(
                                state, MembershipPolicy.REPLACEMENT_SILENCE_NANOS, nowNanos),
                        Consensus.caughtUpMembers(state))
                .ifPresent(change -> change(node, change));
    }

    private static void change(ControlNode node, MembershipChange change) {
        LOG.info("controlhosts: proposes the member change {}", change);
        node.changeMembership(change);
    }

    @Override
    public void join(ControlNode node, long nowNanos) {
        ConsensusState state = node.state();
        boolean alone =
                state.leaderRole().isEmpty()
                        && (nowNanos - state.electionTimer().lastContactNanos() > ALONE_NANOS
                                || state.membership().member(mSelf).isEmpty());
        if (alone) {
            mToMembers.accept(new JoinRequest(mSelf, mLinkAddress));
        }
    }
}
