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
    static final class Held {
        long mEpoch;
        long mUntil;
        long mAckTerm;
        long mDropped;
        boolean mMoving;
        boolean mReleased;
    }

    private static final class Tokens {
        long mLeft;
        long mUntil;
    }

    final HostId mId;
    final DataCentreId mDataCentre;
    final FakeClock mClock;
    final Map<GroupId, Held> mHeld = new TreeMap<>();
    final Map<WorkspaceId, Deque<Long>> mWaiting = new TreeMap<>();
    final Map<WorkspaceId, Integer> mAhead = new TreeMap<>();
    final Map<WorkspaceId, Long> mSpent = new TreeMap<>();
    private final Map<WorkspaceId, List<Tokens>> mTokens = new TreeMap<>();
    private final Map<Long, Long> mSentAt = new HashMap<>();
    private final Set<String> mGrantIds = new HashSet<>();
    ControlState mState = ControlState.EMPTY;
    long mIncarnation;
    long mSequence;
    long mAnswered;
    long mLeaderTerm;
    long mFrozenUntil;
    long mCutUntil;

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
        List.of(mHeld, mWaiting, mSpent, mTokens, mSentAt).forEach(Map::clear);
        mGrantIds.clear();
    }

    boolean believes(GroupId group, long now) {
        Held held = mHeld.get(group);
        return held != null && !held.mReleased && mClock.at(now) < held.mUntil;
    }

    long ackTerm(GroupId group, long now) {
        return believes(group, now) ? mHeld.get(group).mAckTerm : 0;
    }

    EntryReport report(long now) {
        mSequence++;
        mSentAt.put(mSequence, mClock.at(now));
        List<HeldLease> leases = new ArrayList<>();
        mHeld.forEach((g, h) -> leases.add(new HeldLease(g, h.mEpoch, h.mDropped, h.mReleased, 0)));
        List<TokenDemand> demands = new ArrayList<>();
        mWaiting.forEach(
                (w, q) ->
                        demands.add(
                                new TokenDemand(
                                        w,
                                        wanted(w, now),
                                        mSpent.getOrDefault(w, 0L),
                                        available(w, now))));
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
                mLeaderTerm);
    }

    private long available(WorkspaceId workspace, long now) {
        return mTokens.getOrDefault(workspace, List.of()).stream()
                .filter(t -> mClock.at(now) < t.mUntil)
                .mapToLong(t -> t.mLeft)
                .sum();
    }

    // Only the holder of the workspace's group demands tokens, including some in advance.
    private long wanted(WorkspaceId workspace, long now) {
        boolean holds = mState.groupOf(workspace, "s").filter(g -> believes(g, now)).isPresent();
        return holds ? mWaiting.get(workspace).size() + mAhead.get(workspace) : 0;
    }

    /** Applies an update and returns whether the leader waits for a report of the change. */
    boolean update(ControlUpdate update, long now) {
        Long sent = mSentAt.get(update.sequence());
        if (sent == null || update.leader() < mLeaderTerm || update.sequence() < mAnswered) {
            return false;
        }
        mLeaderTerm = update.leader();
        mAnswered = update.sequence();
        follow(update.state());
        update.tokens().forEach(t -> accept(update.leader(), t, sent));
        return lease(update.leases(), sent);
    }

    private void follow(StateUpdate update) {
        if (update instanceof StateUpdate.Replacement replacement
                && replacement.state().version() > mState.version()) {
            mState = replacement.state();
        } else if (update instanceof StateUpdate.Changes changes) {
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

    private boolean lease(List<LeaseGrant> grants, long sent) {
        boolean urgent = false;
        Set<GroupId> granted = new HashSet<>();
        for (LeaseGrant grant : grants) {
            granted.add(grant.group());
            Held held = mHeld.get(grant.group());
            if (held == null || held.mEpoch < grant.epoch()) {
                held = new Held();
                held.mEpoch = grant.epoch();
                held.mUntil = sent;
                mHeld.put(grant.group(), held);
            }
            if (held.mEpoch == grant.epoch()) {
                long until = sent + Duration.ofMillis(grant.durationMillis()).toNanos();
                held.mUntil = Math.max(held.mUntil, until);
                held.mMoving |= grant.move();
                urgent |= allow(held, grant.acknowledgeTerm());
            }
        }
        mHeld.entrySet().removeIf(e -> !granted.contains(e.getKey()));
        if (mHeld.isEmpty()) {
            mTokens.clear();
        }
        return urgent;
    }

    private static boolean allow(Held held, long term) {
        if (term == 0 && held.mAckTerm > held.mDropped) {
            held.mDropped = held.mAckTerm;
            held.mAckTerm = 0;
            return true;
        }
        held.mAckTerm = term > held.mDropped ? term : 0;
        return false;
    }

    private void accept(long leader, TokenGrant grant, long sent) {
        if (mGrantIds.add(leader + ":" + grant.id())) {
            Tokens tokens = new Tokens();
            tokens.mLeft = grant.tokens();
            tokens.mUntil = sent + Duration.ofMillis(grant.durationMillis()).toNanos();
            mTokens.computeIfAbsent(grant.workspace(), w -> new ArrayList<>()).add(tokens);
        }
    }

    /** Spends a valid token and returns whether there was one. */
    boolean spend(WorkspaceId workspace, long now) {
        List<Tokens> all = mTokens.getOrDefault(workspace, List.of());
        long local = mClock.at(now);
        for (Tokens tokens : all) {
            if (tokens.mLeft > 0 && local < tokens.mUntil) {
                tokens.mLeft--;
                mSpent.merge(workspace, 1L, Long::sum);
                return true;
            }
        }
        return false;
    }

    Deque<Long> waiting(WorkspaceId workspace) {
        return mWaiting.computeIfAbsent(workspace, w -> new ArrayDeque<>());
    }
}
