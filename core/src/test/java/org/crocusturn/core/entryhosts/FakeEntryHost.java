package org.crocusturn.core.entryhosts;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.crocusturn.core.DataCentreId;
import org.crocusturn.core.GroupId;
import org.crocusturn.core.HostId;
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.controlhosts.ControlUpdate;
import org.crocusturn.core.controlhosts.EntryReport;
import org.crocusturn.core.controlhosts.HeldLease;
import org.crocusturn.core.controlhosts.LeaseGrant;
import org.crocusturn.core.controlhosts.StateUpdate;
import org.crocusturn.core.controlhosts.TokenDemand;
import org.crocusturn.core.controlhosts.TokenGrant;
import org.crocusturn.core.operators.ControlState;
import org.crocusturn.core.operators.ControlStateMachine;

/** Simulated entry host that follows the control protocol; arguments are in simulated time. */
final class FakeEntryHost {
    static final class LocalLease {
        long mEpoch;
        long mExpiresAt;
        long mAckTerm;
        long mDroppedTerm;
        boolean mReleaseRequested;
        boolean mReleased;
    }

    private static final class GrantedTokens {
        long mUnspent;
        long mExpiresAt;
    }

    final HostId mId;
    final DataCentreId mDataCentre;
    final FakeClock mClock;
    final Map<GroupId, LocalLease> mLeases = new TreeMap<>();
    final Map<WorkspaceId, Deque<Long>> mWaitingRequests = new TreeMap<>();
    final Map<WorkspaceId, Integer> mPrefetchTokens = new TreeMap<>();
    final Map<WorkspaceId, Long> mSpent = new TreeMap<>();
    private final Map<WorkspaceId, List<GrantedTokens>> mTokens = new TreeMap<>();
    private final Map<Long, Long> mSentAt = new HashMap<>();
    private final Set<String> mGrantIds = new HashSet<>();
    ControlState mState = ControlState.EMPTY;
    long mIncarnation;
    long mSequence;
    long mAnswered;
    long mLeaderTerm;
    long mFrozenUntil;
    long mDisconnectedUntil;

    FakeEntryHost(HostId id, DataCentreId dataCentre, FakeClock clock, long incarnation) {
        mId = id;
        mDataCentre = dataCentre;
        mClock = clock;
        mIncarnation = incarnation;
    }

    void restart(long incarnation) {
        mIncarnation = incarnation;
        mSequence = 0;
        mAnswered = 0;
        mLeaderTerm = 0;
        mState = ControlState.EMPTY;
        List.of(mLeases, mWaitingRequests, mSpent, mTokens, mSentAt).forEach(Map::clear);
        mGrantIds.clear();
    }

    boolean holds(GroupId group, long now) {
        LocalLease held = mLeases.get(group);
        return held != null && !held.mReleased && mClock.at(now) < held.mExpiresAt;
    }

    long ackTerm(GroupId group, long now) {
        return holds(group, now) ? mLeases.get(group).mAckTerm : 0;
    }

    EntryReport report(long now) {
        mSequence++;
        mSentAt.put(mSequence, mClock.at(now));
        List<HeldLease> leases = new ArrayList<>();
        mLeases.forEach(
                (g, h) -> leases.add(new HeldLease(g, h.mEpoch, h.mDroppedTerm, h.mReleased, 0)));
        List<TokenDemand> demands = new ArrayList<>();
        mWaitingRequests.forEach(
                (w, q) ->
                        demands.add(
                                new TokenDemand(
                                        w,
                                        demandedTokens(w, now),
                                        mSpent.getOrDefault(w, 0L),
                                        availableTokens(w, now))));
        return new EntryReport(
                mId,
                mIncarnation,
                mDataCentre,
                "127.0.0.1:1",
                mSequence,
                mState.version(),
                leases,
                demands,
                Set.of(),
                false,
                mAnswered,
                mLeaderTerm,
                0);
    }

    private long availableTokens(WorkspaceId workspace, long now) {
        return mTokens.getOrDefault(workspace, List.of()).stream()
                .filter(t -> mClock.at(now) < t.mExpiresAt)
                .mapToLong(t -> t.mUnspent)
                .sum();
    }

    // Only the holder of the workspace's group demands tokens, including some in advance.
    private long demandedTokens(WorkspaceId workspace, long now) {
        boolean holds = mState.groupOf(workspace, "s").filter(g -> holds(g, now)).isPresent();
        return holds ? mWaitingRequests.get(workspace).size() + mPrefetchTokens.get(workspace) : 0;
    }

    /** Applies an update and returns whether the leader waits for a report of the change. */
    boolean update(ControlUpdate update, long now) {
        Long sent = mSentAt.get(update.sequence());
        if (sent == null || update.leaderTerm() < mLeaderTerm || update.sequence() < mAnswered) {
            return false;
        }
        mLeaderTerm = update.leaderTerm();
        mAnswered = update.sequence();
        applyState(update.state());
        update.tokens().forEach(t -> acceptGrant(update.leaderTerm(), t, sent));
        return applyLeaseGrants(update.leases(), sent);
    }

    private void applyState(StateUpdate update) {
        if (update instanceof StateUpdate.Replacement replacement
                && replacement.state().version() > mState.version()) {
            mState = replacement.state();
        } else if (update instanceof StateUpdate.Changes changes
                && changes.baseVersion() <= mState.version()) {
            changes.commands().stream()
                    .filter(c -> c.version() > mState.version())
                    .forEach(
                            c ->
                                    mState =
                                            ControlStateMachine.apply(
                                                            mState, c.version(), c.command())
                                                    .state());
        }
    }

    private boolean applyLeaseGrants(List<LeaseGrant> grants, long sent) {
        boolean urgent = false;
        Set<GroupId> granted = new HashSet<>();
        for (LeaseGrant grant : grants) {
            granted.add(grant.group());
            LocalLease held = mLeases.get(grant.group());
            if (held == null || held.mEpoch < grant.epoch()) {
                held = new LocalLease();
                held.mEpoch = grant.epoch();
                held.mExpiresAt = sent;
                mLeases.put(grant.group(), held);
            }
            if (held.mEpoch == grant.epoch()) {
                long until = sent + Duration.ofMillis(grant.durationMillis()).toNanos();
                held.mExpiresAt = Math.max(held.mExpiresAt, until);
                held.mReleaseRequested |= grant.move();
                urgent |= updateAckTerm(held, grant.acknowledgeTerm());
            }
        }
        mLeases.entrySet().removeIf(e -> !granted.contains(e.getKey()));
        if (mLeases.isEmpty()) {
            mTokens.clear();
        }
        return urgent;
    }

    private static boolean updateAckTerm(LocalLease held, long term) {
        if (term == 0 && held.mAckTerm > held.mDroppedTerm) {
            held.mDroppedTerm = held.mAckTerm;
            held.mAckTerm = 0;
            return true;
        }
        held.mAckTerm = term > held.mDroppedTerm ? term : 0;
        return false;
    }

    private void acceptGrant(long leader, TokenGrant grant, long sent) {
        if (mGrantIds.add(leader + ":" + grant.id())) {
            GrantedTokens tokens = new GrantedTokens();
            tokens.mUnspent = grant.tokens();
            tokens.mExpiresAt = sent + Duration.ofMillis(grant.durationMillis()).toNanos();
            mTokens.computeIfAbsent(grant.workspace(), w -> new ArrayList<>()).add(tokens);
        }
    }

    /** Spends a valid token and returns whether there was one. */
    boolean spend(WorkspaceId workspace, long now) {
        List<GrantedTokens> all = mTokens.getOrDefault(workspace, List.of());
        long local = mClock.at(now);
        for (GrantedTokens tokens : all) {
            if (tokens.mUnspent > 0 && local < tokens.mExpiresAt) {
                tokens.mUnspent--;
                mSpent.merge(workspace, 1L, Long::sum);
                return true;
            }
        }
        return false;
    }

    Deque<Long> waiting(WorkspaceId workspace) {
        return mWaitingRequests.computeIfAbsent(workspace, w -> new ArrayDeque<>());
    }
}
