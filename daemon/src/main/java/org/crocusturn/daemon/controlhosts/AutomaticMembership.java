package org.crocusturn.daemon.controlhosts;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.crocusturn.core.HostId;
import org.crocusturn.core.PeerMessage;
import org.crocusturn.core.controlhosts.Consensus;
import org.crocusturn.core.controlhosts.ConsensusState;
import org.crocusturn.core.controlhosts.JoinRequest;
import org.crocusturn.core.controlhosts.Membership;
import org.crocusturn.core.controlhosts.MembershipChange;
import org.crocusturn.core.controlhosts.MembershipPolicy;
import org.crocusturn.daemon.net.Addresses;
import org.crocusturn.daemon.settings.MemberSettings;

/** Adds joining hosts and replaces silent members as {@link MembershipPolicy} decides. */
final class AutomaticMembership implements MembershipManager {
    private static final Logger LOG = LogManager.getLogger(AutomaticMembership.class);

    /**
     * Time without contact to a leader after which a host asks to join, in nanoseconds. It is
     * longer than the longest election timeout, 1.2 s.
     */
    private static final long LEADERLESS_TIMEOUT_NANOS = 1_500_000_000L;

    /** Minimum time between two lines about a missing leader, in nanoseconds. */
    private static final long LEADERLESS_LINE_INTERVAL_NANOS = 5_000_000_000L;

    private final HostId mSelf;
    private final String mLinkAddress;
    private final int mToleratedLosses;
    private final Consumer<PeerMessage> mMemberSender;

    /** Change that was proposed last, if one was due at the last check. */
    private Optional<MembershipChange> mLastChange = Optional.empty();

    /** Losses that the group tolerates, as last logged. */
    private int mLoggedLosses = Integer.MAX_VALUE;

    private long mLeaderlessLineNanos;

    /**
     * Creates the manager.
     *
     * @param settings settings of this member
     * @param memberSender sends a message to all other members
     */
    AutomaticMembership(MemberSettings settings, Consumer<PeerMessage> memberSender) {
        mSelf = settings.host();
        mLinkAddress = Addresses.format(settings.link());
        mToleratedLosses = settings.toleratedLosses();
        mMemberSender = memberSender;
    }

    @Override
    public boolean reconcile(ControlNode node, Map<HostId, String> joining, long nowNanos) {
        ConsensusState state = node.state();
        Set<HostId> replaceable =
                Consensus.replaceableMembers(
                        state, MembershipPolicy.REPLACEMENT_SILENCE_NANOS, nowNanos);
        logTolerableLosses(state.membership(), replaceable);
        if (Consensus.isMembershipChanging(state)) {
            return true;
        }
        Optional<MembershipChange> change =
                MembershipPolicy.next(
                        state.membership(), joining, replaceable, Consensus.caughtUpMembers(state));
        change.ifPresent(next -> propose(node, next));
        // A change that was rejected is repeated at the usual interval.
        boolean isNew = change.isPresent() && !change.equals(mLastChange);
        mLastChange = change;
        return isNew;
    }

    private static void propose(ControlNode node, MembershipChange change) {
        LOG.info("controlhosts: proposing the membership change {}", change);
        node.changeMembership(change);
    }

    private void logTolerableLosses(Membership membership, Set<HostId> replaceable) {
        int losses = membership.tolerableLosses(replaceable);
        if (losses == mLoggedLosses) {
            return;
        }
        mLoggedLosses = losses;
        if (losses < mToleratedLosses) {
            LOG.warn(
                    "controlhosts: the group tolerates the loss of {} disks, the settings ask for"
                            + " {}; members that are silent or do not count are {}",
                    losses,
                    mToleratedLosses,
                    replaceable);
        } else {
            LOG.info("controlhosts: the group tolerates the loss of {} disks", losses);
        }
    }

    @Override
    public void requestJoin(ControlNode node, long nowNanos) {
        ConsensusState state = node.state();
        if (state.leaderRole().isPresent()) {
            return;
        }
        long leaderlessNanos = nowNanos - state.electionTimer().lastContactNanos();
        logMissingLeader(state, leaderlessNanos, nowNanos);
        if (leaderlessNanos > LEADERLESS_TIMEOUT_NANOS
                || state.membership().member(mSelf).isEmpty()) {
            mMemberSender.accept(new JoinRequest(mSelf, mLinkAddress));
        }
    }

    private void logMissingLeader(ConsensusState state, long leaderlessNanos, long nowNanos) {
        if (leaderlessNanos > LEADERLESS_LINE_INTERVAL_NANOS
                && nowNanos - mLeaderlessLineNanos > LEADERLESS_LINE_INTERVAL_NANOS) {
            mLeaderlessLineNanos = nowNanos;
            LOG.warn(
                    "controlhosts: no leader for {} ms in term {}; members are {}, this host"
                            + " recovers: {}",
                    TimeUnit.NANOSECONDS.toMillis(leaderlessNanos),
                    state.term(),
                    state.membership().members(),
                    state.hardState().recovering());
        }
    }
}
