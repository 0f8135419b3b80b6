package org.crocusturn.core.endpoints;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.Failure;
import org.crocusturn.core.GroupId;
import org.crocusturn.core.HostId;
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.callers.GroupOperation;
import org.crocusturn.core.callers.GroupRequest;
import org.crocusturn.core.callers.Outcome;
import org.crocusturn.core.callers.Role;
import org.crocusturn.core.callers.SessionMark;
import org.crocusturn.core.controlhosts.GrantedTokens;
import org.crocusturn.core.controlhosts.TokenDemand;
import org.crocusturn.core.operators.AcknowledgeMode;
import org.crocusturn.core.operators.RateLimit;

/** Simulates a coordinator with copies, a control leader and random faults. */
final class GroupSimulation {
    static final long NANOS_PER_MILLI = 1_000_000;
    static final GroupId GROUP = GroupId.of("svc", SimulatedCopy.DATABASE);
    static final HostId ORIGIN = HostId.of("entry-1");
    static final CopyLimits LIMITS = new CopyLimits(2, 4);
    static final long END_NANOS = 20_000 * NANOS_PER_MILLI;

    final Random mRandom;
    final List<String> mViolations = new ArrayList<>();
    final Map<String, Integer> mRunCounts = new HashMap<>();
    final List<SimulatedCopy> mCopies = new ArrayList<>();
    long mNowNanos;
    int mReplicaReads;
    int mPromotions;
    private final GroupCoordinator mCoordinator;
    private final AcknowledgeMode mMode;
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(Comparator.comparing(Event::at).thenComparing(Event::number));
    private final Map<Long, Consumer<Outcome>> mCallbacks = new HashMap<>();
    private final Map<Long, Caller> mCallersByRequest = new HashMap<>();
    private final Map<Long, EndpointId> mOpenConnections = new HashMap<>();
    private final Map<Long, Long> mRunningCommands = new HashMap<>();
    private final Map<Long, Caller> mTransactionOwners = new HashMap<>();
    private GroupState mState = GroupState.of(GROUP);
    private long mEventNumber;
    private long mNextRequest = 1;
    private long mHostFrozenUntil;
    private boolean mConnected = true;
    private long mTerm = 1;
    private Optional<SimulatedCopy> mPrimary;
    private long mStartIndex;
    private long mEpoch = 1;
    private boolean mHandoverRequested;
    private boolean mWritesHeld;
    private long mFinishUntilNanos;
    private long mLeaseUntilNanos;
    private long mLastReportNanos;
    private long mDroppedTerm;
    private long mLastTokenReportNanos;

    private record Event(long at, long number, Runnable action) {}

    /** The session of a request and the writes that it must see. */
    record Caller(String session, Set<String> expected) {}

    GroupSimulation(long seed, AcknowledgeMode mode, GroupPolicies policies) {
        mRandom = new Random(seed);
        mMode = mode;
        mCoordinator = GroupCoordinator.of(policies);
        for (int i = 1; i <= 3; i++) {
            mCopies.add(new SimulatedCopy("e" + i, mRunCounts));
            mCopies.get(i - 1).mTerm = 1;
        }
        mPrimary = Optional.of(mCopies.get(0));
        mCopies.get(0).mRole = Role.PRIMARY;
        every(200, this::report);
        every(10, () -> deliver(new GroupInput.Tick(), 0));
        every(5, this::replicate);
        every(1_500, this::injectFault);
    }

    void after(long millis, Runnable action) {
        mEvents.add(new Event(mNowNanos + millis * NANOS_PER_MILLI, mEventNumber++, action));
    }

    private void every(long millis, Runnable action) {
        after(
                millis,
                () -> {
                    action.run();
                    every(millis, action);
                });
    }

    void runUntil(long nanos) {
        while (mEvents.peek().at() <= nanos && mViolations.isEmpty()) {
            Event event = mEvents.poll();
            mNowNanos = event.at();
            event.action().run();
        }
    }

    SimulatedCopy primary() {
        return mPrimary.orElseThrow();
    }

    GroupState state() {
        return mState;
    }

    int unanswered() {
        return mCallbacks.size();
    }

    void request(
            String session,
            WorkspaceId workspace,
            GroupOperation operation,
            SessionMark mark,
            Set<String> expected,
            Consumer<Outcome> callback) {
        long id = mNextRequest++;
        mCallbacks.put(id, callback);
        mCallersByRequest.put(id, new Caller(session, expected));
        GroupRequest request = new GroupRequest(id, workspace, GROUP, operation, mark, true, 3_000);
        long epoch = mState.view().epoch();
        deliver(new GroupInput.RequestArrived(ORIGIN, epoch, request, "secret" + id), 1);
    }

    /** Delivers an input to the coordinator, delayed while the host is frozen. */
    private void deliver(GroupInput input, long delayMillis) {
        after(
                Math.max(delayMillis, (mHostFrozenUntil - mNowNanos) / NANOS_PER_MILLI + 1),
                () -> {
                    var decision = mCoordinator.step(mState, input, mNowNanos);
                    mState = decision.state();
                    long request = 0;
                    for (GroupAction action : decision.actions()) {
                        if (action instanceof GroupAction.LogRoute route) {
                            request = route.request();
                        }
                        perform(action, request);
                    }
                });
    }

    private void perform(GroupAction action, long request) {
        if (action instanceof GroupAction.OpenConnection open) {
            open(open);
        } else if (action instanceof GroupAction.CloseConnection close) {
            EndpointId endpoint = mOpenConnections.remove(close.connection());
            mRunningCommands.remove(close.connection());
            mTransactionOwners.remove(close.connection());
            if (endpoint != null) {
                SimulatedCopy copy = copy(endpoint);
                whenUnfrozen(copy, () -> copy.close(close.connection()));
            }
        } else if (action instanceof GroupAction.SendCommand send) {
            send(send, mCallersByRequest.get(request));
        } else if (action instanceof GroupAction.Reply reply) {
            Consumer<Outcome> caller = mCallbacks.remove(reply.request());
            check(caller != null, "request " + reply.request() + " is answered twice");
            caller.accept(reply.outcome());
        } else if (action instanceof GroupAction.TokensNeeded) {
            if (mNowNanos - mLastTokenReportNanos > 20 * NANOS_PER_MILLI) {
                mLastTokenReportNanos = mNowNanos;
                report();
            }
        } else if (action instanceof GroupAction.Released) {
            check(mOpenConnections.isEmpty(), "released with open connections");
            after(5, this::assignNextEpoch);
        }
    }

    void check(boolean holds, String violation) {
        if (!holds) {
            mViolations.add(violation + " at " + mNowNanos / NANOS_PER_MILLI + " ms");
        }
    }

    long promotedTerm() {
        return mPrimary.map(p -> p.mTerm).orElse(0L);
    }

    private SimulatedCopy copy(EndpointId endpoint) {
        return mCopies.stream().filter(c -> c.mEndpoint.equals(endpoint)).findFirst().orElseThrow();
    }

    private void whenUnfrozen(SimulatedCopy copy, Runnable action) {
        after(
                Math.max(
                        1 + mRandom.nextInt(4),
                        (copy.mFrozenUntil - mNowNanos) / NANOS_PER_MILLI + 1),
                action);
    }

    private void open(GroupAction.OpenConnection open) {
        mOpenConnections.put(open.connection(), open.endpoint());
        long count = mOpenConnections.values().stream().filter(open.endpoint()::equals).count();
        check(count <= LIMITS.connections(), count + " connections to " + open.endpoint());
        SimulatedCopy copy = copy(open.endpoint());
        if (mRandom.nextInt(20) == 0) {
            deliver(new GroupInput.ConnectionFailed(open.connection()), 3);
            return;
        }
        whenUnfrozen(
                copy,
                () -> {
                    copy.open(open.connection(), open.epoch());
                    deliver(new GroupInput.ConnectionOpened(open.connection()), 2);
                });
    }

    private void send(GroupAction.SendCommand send, Caller caller) {
        EndpointId endpoint = mOpenConnections.get(send.connection());
        check(endpoint != null, "command on closed connection " + send.connection());
        check(mRunningCommands.put(send.connection(), send.command()) == null, "pipelined command");
        long running =
                mRunningCommands.keySet().stream()
                        .filter(c -> endpoint.equals(mOpenConnections.get(c)))
                        .count();
        check(running <= LIMITS.slots(), running + " statements run at " + endpoint);
        Caller owner = mTransactionOwners.get(send.connection());
        check(
                owner == null || owner.session().equals(caller.session()),
                caller.session() + " uses the connection of another transaction");
        if (send.payload() instanceof DatabaseCommand.Begin) {
            mTransactionOwners.put(send.connection(), caller);
        }
        SimulatedCopy copy = copy(endpoint);
        mReplicaReads += copy.mRole == Role.REPLICA ? 1 : 0;
        int faultDraw = mRandom.nextInt(100);
        whenUnfrozen(copy, () -> execute(copy, send, caller, faultDraw));
        after(send.timeoutMillis(), () -> result(send, lost("no answer in time")));
    }

    private void execute(
            SimulatedCopy copy, GroupAction.SendCommand send, Caller caller, int faultDraw) {
        boolean lostBefore = faultDraw == 0;
        boolean lostAfter = faultDraw == 1 || faultDraw == 2;
        DatabaseResult result =
                lostBefore
                        ? lost("connection reset")
                        : copy.run(send.connection(), send.payload(), caller.expected(), mNowNanos);
        long delay = 1 + mRandom.nextInt(6);
        if (faultDraw == 1) {
            // The end of the connection is reported before the outcome of its command.
            after(delay, () -> connectionClosed(send.connection()));
        }
        after(delay, () -> result(send, lostAfter ? lost("answer lost") : result));
    }

    private void connectionClosed(long connection) {
        deliver(new GroupInput.ConnectionFailed(connection), 0);
    }

    private static DatabaseResult lost(String message) {
        return new DatabaseResult.Lost(Failure.mayHaveRun(message));
    }

    private void result(GroupAction.SendCommand send, DatabaseResult result) {
        Long command = mRunningCommands.get(send.connection());
        if (command != null && command == send.command()) {
            mRunningCommands.remove(send.connection());
            boolean ends =
                    send.payload() instanceof DatabaseCommand.Commit
                            || send.payload() instanceof DatabaseCommand.Rollback
                            || send.payload() instanceof DatabaseCommand.Begin
                                    && !(result instanceof DatabaseResult.Done);
            if (ends) {
                mTransactionOwners.remove(send.connection());
            }
        }
        deliver(new GroupInput.ResultReceived(send.connection(), send.command(), result), 0);
    }

    private void replicate() {
        for (SimulatedCopy copy : mCopies) {
            if (copy.mFrozenUntil <= mNowNanos) {
                mPrimary.filter(p -> p.mFrozenUntil <= mNowNanos)
                        .ifPresent(p -> copy.replicateFrom(p, mNowNanos));
                if (mRandom.nextInt(3) == 0) {
                    deliver(
                            new GroupInput.Observed(
                                    new EndpointObservation.StatusReceived(
                                            copy.mEndpoint, List.of(copy.status()))),
                            1 + mRandom.nextInt(5));
                }
            }
        }
    }

    /** Sends a report; leases in the response run from the time it was sent. */
    private void report() {
        if (!mConnected || mHostFrozenUntil > mNowNanos || mEpoch == 0) {
            return;
        }
        long sent = mNowNanos;
        long epoch = mState.view().epoch();
        long dropped = mState.droppedTerm();
        List<TokenDemand> demands = mState.demands(mNowNanos);
        after(
                1 + mRandom.nextInt(5),
                () -> {
                    mLastReportNanos = sent;
                    mDroppedTerm = epoch == mEpoch ? dropped : mDroppedTerm;
                    sendView();
                    demands.forEach(d -> grant(d, sent));
                });
    }

    private void grant(TokenDemand demand, long sent) {
        deliver(
                new GroupInput.TokensGranted(
                        new GrantedTokens(
                                demand.workspace(),
                                demand.wanted(),
                                sent + 1_000 * NANOS_PER_MILLI)),
                2);
    }

    /** Sends the state and the leases, which run from the latest report. */
    private void sendView() {
        if (!mConnected) {
            return;
        }
        mLeaseUntilNanos = mEpoch == 0 ? mLeaseUntilNanos : mNowNanos + 1_020 * NANOS_PER_MILLI;
        Map<EndpointId, GroupView.Copy> copies = new HashMap<>();
        mCopies.forEach(c -> copies.put(c.mEndpoint, new GroupView.Copy(LIMITS, true)));
        Map<WorkspaceId, RateLimit> rates = new HashMap<>();
        for (int i = 0; i < 3; i++) {
            rates.put(WorkspaceId.of("w" + i), new RateLimit(1_000, 100));
        }
        mFinishUntilNanos =
                mWritesHeld ? mFinishUntilNanos : mLastReportNanos + 1_000 * NANOS_PER_MILLI;
        deliver(
                new GroupInput.ViewChanged(
                        new GroupView(
                                GROUP,
                                mEpoch,
                                mLastReportNanos + 1_000 * NANOS_PER_MILLI,
                                mPrimary.isPresent() && !mWritesHeld ? mTerm : 0,
                                mPrimary.isPresent() ? mTerm : 0,
                                mFinishUntilNanos,
                                mHandoverRequested,
                                mTerm,
                                mPrimary.map(p -> p.mEndpoint),
                                mStartIndex,
                                mMode,
                                true,
                                copies,
                                rates)),
                1 + mRandom.nextInt(4));
    }

    private void injectFault() {
        if (mNowNanos > END_NANOS) {
            return;
        }
        SimulatedCopy copy = mCopies.get(mRandom.nextInt(3));
        copy.mLagNanos = (1 + mRandom.nextInt(60)) * NANOS_PER_MILLI;
        switch (mRandom.nextInt(8)) {
            case 0 -> failover();
            case 1 -> {
                primaryOrAny(copy).mFrozenUntil = mNowNanos + 800 * NANOS_PER_MILLI;
                after(300, this::failover);
            }
            case 2 -> {
                mHostFrozenUntil = mNowNanos + (100 + mRandom.nextInt(2_000)) * NANOS_PER_MILLI;
                after(300, this::failover);
            }
            case 3 -> {
                mConnected = false;
                after(200 + mRandom.nextInt(1_500), this::failover);
                after(2_500 + mRandom.nextInt(1_500), () -> mConnected = true);
            }
            case 4 -> loseLease();
            case 5 -> mHandoverRequested = mEpoch > 0;
            case 6 -> switchOver();
            default -> copy.mFrozenUntil = mNowNanos + 400 * NANOS_PER_MILLI;
        }
        sendView();
    }

    private SimulatedCopy primaryOrAny(SimulatedCopy other) {
        return mPrimary.orElse(other);
    }

    private void loseLease() {
        if (mEpoch > 0) {
            long epoch = mEpoch;
            mEpoch = 0;
            sendView();
            after(1_100, () -> mEpoch = epoch);
            after(1_101, this::assignNextEpoch);
        }
    }

    private void assignNextEpoch() {
        if (mEpoch > 0) {
            mEpoch++;
            mHandoverRequested = false;
            sendView();
        }
    }

    /**
     * Performs a planned switchover: holds writes back and promotes once the host has dropped the
     * term.
     */
    private void switchOver() {
        if (mPrimary.isPresent() && !mWritesHeld && mNowNanos < END_NANOS) {
            mWritesHeld = true;
            sendView();
            after(20, this::endHold);
        }
    }

    private void endHold() {
        if (mWritesHeld
                && mDroppedTerm < mTerm
                && mNowNanos <= mFinishUntilNanos + 20 * NANOS_PER_MILLI) {
            after(20, this::endHold);
        } else if (mWritesHeld) {
            failover();
        }
    }

    private void failover() {
        if (mPrimary.isPresent() && mNowNanos < END_NANOS) {
            mWritesHeld = false;
            mTerm++;
            mPrimary = Optional.empty();
            sendView();
            promoteWhenSafe();
        }
    }

    /** Promotes a copy once the host has dropped the old term or its lease must have expired. */
    private void promoteWhenSafe() {
        List<SimulatedCopy> responsive =
                mCopies.stream().filter(c -> c.mFrozenUntil <= mNowNanos).toList();
        if (mDroppedTerm < mTerm - 1 && mNowNanos <= mLeaseUntilNanos || responsive.size() < 2) {
            after(20, this::promoteWhenSafe);
            return;
        }
        List<SimulatedCopy> majority = new ArrayList<>(responsive);
        majority.remove(mRandom.nextInt(3) % responsive.size());
        majority = majority.size() < 2 ? responsive : majority;
        majority.forEach(c -> c.fence(mTerm));
        SimulatedCopy next =
                majority.stream().max(Comparator.comparing(SimulatedCopy::position)).orElseThrow();
        next.mRole = Role.PRIMARY;
        mStartIndex = next.mLog.size();
        mPrimary = Optional.of(next);
        mPromotions++;
        long term = mTerm;
        for (SimulatedCopy copy : mCopies) {
            if (copy != next) {
                long delay = majority.contains(copy) ? mRandom.nextInt(50) : mRandom.nextInt(900);
                follow(copy, next, term, delay);
            }
        }
        sendView();
    }

    private void follow(SimulatedCopy copy, SimulatedCopy primary, long term, long delayMillis) {
        after(
                Math.max(delayMillis, (copy.mFrozenUntil - mNowNanos) / NANOS_PER_MILLI + 1),
                () -> {
                    if (mTerm == term && mPrimary.isPresent()) {
                        copy.follow(primary);
                    }
                });
    }
}
