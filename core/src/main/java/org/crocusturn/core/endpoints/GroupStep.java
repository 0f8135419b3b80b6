package org.crocusturn.core.endpoints;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.crocusturn.core.Decision;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.ErrorCode;
import org.crocusturn.core.Failure;
import org.crocusturn.core.PersistentMap;
import org.crocusturn.core.Verdict;
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.callers.FairQueue;
import org.crocusturn.core.callers.GroupAnswer;
import org.crocusturn.core.callers.Outcome;
import org.crocusturn.core.callers.TransactionId;
import org.crocusturn.core.controlhosts.TokenAllowance;

/**
 * Mutable builder of the next state and the actions of one {@link GroupCoordinator} step.
 *
 * <p>Not thread-safe; an instance is confined to a single call. All values that it holds are
 * immutable, except for the list of actions.
 */
final class GroupStep {
    /** Delay before a request that cannot run is retried. */
    static final long RETRY_NANOS = 20_000_000;

    final GroupPolicies mPolicies;
    final long mNow;
    final List<GroupAction> mActions = new ArrayList<>();
    GroupView mView;
    TermHistory mHistory;
    PersistentMap<EndpointId, CopyView> mCopies;
    PersistentMap<EndpointId, ConnectionPool> mPools;
    PersistentMap<Long, EndpointId> mConnections;
    PersistentMap<EndpointId, Long> mBackoff;
    FairQueue<Work> mTransactionLane;
    FairQueue<Work> mPrimaryLane;
    FairQueue<Work> mReplicaLane;
    PersistentMap<Long, Delayed> mDelayed;
    PersistentMap<Long, Running> mRunning;
    PersistentMap<Long, Committed> mCommitted;
    TransactionTable mTransactions;
    PersistentMap<WorkspaceId, TokenAllowance> mAllowances;
    Optional<Long> mHandoverNanos;
    boolean mReleased;
    long mDroppedTerm;
    long mNextNumber;

    GroupStep(GroupPolicies policies, GroupState state, long nowNanos) {
        mPolicies = policies;
        mNow = nowNanos;
        mView = state.mView;
        mHistory = state.mHistory;
        mCopies = state.mCopies;
        mPools = state.mPools;
        mConnections = state.mConnections;
        mBackoff = state.mBackoff;
        mTransactionLane = state.mTransactionLane;
        mPrimaryLane = state.mPrimaryLane;
        mReplicaLane = state.mReplicaLane;
        mDelayed = state.mDelayed;
        mRunning = state.mRunning;
        mCommitted = state.mCommitted;
        mTransactions = state.mTransactions;
        mAllowances = state.mAllowances;
        mHandoverNanos = state.mHandoverNanos;
        mReleased = state.mReleased;
        mDroppedTerm = state.mDroppedTerm;
        mNextNumber = state.mNextNumber;
    }

    Decision<GroupState, GroupAction> decision() {
        return new Decision<>(new GroupState(this), mActions);
    }

    boolean leaseValid() {
        return mView.leaseValid(mNow);
    }

    /** Returns the primary if new statements may start there. */
    Optional<EndpointId> usablePrimary() {
        return mView.term() > mDroppedTerm ? mView.usablePrimary() : Optional.empty();
    }

    /** Returns whether requests outside of open transactions may start. */
    boolean takesWork() {
        return leaseValid() && mHandoverNanos.isEmpty() && !mReleased;
    }

    ConnectionPool pool(EndpointId endpoint) {
        ConnectionPool pool = mPools.get(endpoint);
        if (pool != null) {
            return pool;
        }
        GroupView.Copy copy = mView.copies().get(endpoint);
        return ConnectionPool.empty(copy == null ? new CopyLimits(1, 1) : copy.limits());
    }

    TokenAllowance allowance(WorkspaceId workspace) {
        TokenAllowance allowance = mAllowances.get(workspace);
        return allowance == null ? TokenAllowance.empty() : allowance;
    }

    /** Returns the copies other than the primary, those with the most free slots first. */
    List<CopyView> replicas() {
        return mCopies.values()
                .filter(c -> !mView.primary().equals(Optional.of(c.endpoint())))
                .sorted(
                        Comparator.comparingInt((CopyView c) -> -pool(c.endpoint()).freeSlots())
                                .thenComparing(CopyView::endpoint))
                .toList();
    }

    void answer(Work work, GroupAnswer answer) {
        mActions.add(
                new GroupAction.Reply(
                        work.origin(), work.request().id(), new Outcome.Answered(answer)));
    }

    /**
     * Replies with a failure. If an earlier attempt may have run, "not run" is replaced by "may
     * have run".
     */
    void fail(Work work, Failure failure) {
        boolean unknown = work.mayHaveRun() && failure.verdict() == Verdict.NOT_RUN;
        Failure told = unknown ? Failure.mayHaveRun(failure.message()) : failure;
        mActions.add(
                new GroupAction.Reply(
                        work.origin(), work.request().id(), new Outcome.Failed(told)));
    }

    void failMoved(Work work) {
        fail(work, Failure.notRun(ErrorCode.MOVED, "the group moves to another host"));
    }

    /** Adds a request to the queue that it belongs to. */
    void enqueue(Work work, boolean first) {
        if (work.transaction().isPresent()) {
            mTransactionLane = queued(mTransactionLane, work, first);
        } else if (work.read() && !work.primaryOnly()) {
            mReplicaLane = queued(mReplicaLane, work, first);
        } else {
            mPrimaryLane = queued(mPrimaryLane, work, first);
        }
    }

    private static FairQueue<Work> queued(FairQueue<Work> lane, Work work, boolean first) {
        long budget = work.arrivedNanos() + GroupPolicies.TOKEN_BUDGET.toNanos();
        long deadline =
                work.needsToken() ? Math.min(work.deadlineNanos(), budget) : work.deadlineNanos();
        return first
                ? lane.withFirst(work.workspace(), work, 1, deadline)
                : lane.with(work.workspace(), work, 1, deadline);
    }

    void delay(Work work, long untilNanos, boolean replica) {
        long until = Math.min(untilNanos, work.deadlineNanos());
        mDelayed = mDelayed.with(mNextNumber++, new Delayed(work, until, replica));
    }

    /**
     * Retries a request later, or fails it if it cannot wait here.
     *
     * @param work request that did not run or is idempotent
     * @param otherwise failure to report if the request cannot wait
     */
    void retry(Work work, Failure otherwise) {
        if (!takesWork()) {
            fail(work, otherwise.verdict() == Verdict.NOT_RUN ? moved() : otherwise);
        } else if (work.deadlineNanos() - mNow <= RETRY_NANOS) {
            fail(work, otherwise);
        } else {
            delay(work, mNow + RETRY_NANOS, false);
        }
    }

    private static Failure moved() {
        return Failure.notRun(ErrorCode.MOVED, "the group moves to another host");
    }

    /** Closes and removes a connection; its running command must have been removed before. */
    void close(long connection) {
        EndpointId endpoint = mConnections.get(connection);
        if (endpoint != null) {
            mConnections = mConnections.without(connection);
            mPools = mPools.with(endpoint, pool(endpoint).without(connection));
            mActions.add(new GroupAction.CloseConnection(connection));
        }
    }

    void closeAll() {
        mConnections.keys().toList().forEach(this::close);
    }

    /** Rolls a transaction back by closing its connection; none of its commands may be running. */
    void drop(TransactionTable.Open open) {
        mTransactions = mTransactions.without(open.id());
        close(open.connection());
    }

    void finishTransaction(TransactionId id) {
        mTransactions
                .find(id)
                .ifPresent(
                        open -> {
                            mTransactions = mTransactions.without(id);
                            idle(open.connection());
                        });
    }

    void idle(long connection) {
        EndpointId endpoint = mConnections.get(connection);
        if (endpoint != null) {
            mPools = mPools.with(endpoint, pool(endpoint).withIdle(connection));
        }
    }

    /** Excludes a copy from reads until its next status arrives. */
    void forgetStatus(EndpointId endpoint) {
        mCopies.find(endpoint)
                .ifPresent(
                        c ->
                                mCopies =
                                        mCopies.with(
                                                endpoint,
                                                new CopyView(
                                                        endpoint,
                                                        c.limits(),
                                                        c.inService(),
                                                        Optional.empty(),
                                                        mNow)));
    }
}
