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
    final long mNowNanos;
    final List<GroupAction> mActions = new ArrayList<>();
    GroupView mView;
    TermHistory mHistory;
    PersistentMap<EndpointId, CopyView> mCopies;
    PersistentMap<EndpointId, ConnectionPool> mPools;
    PersistentMap<Long, EndpointId> mConnections;
    PersistentMap<EndpointId, Long> mBackoff;
    FairQueue<PendingRequest> mTransactionQueue;
    FairQueue<PendingRequest> mPrimaryQueue;
    FairQueue<PendingRequest> mReplicaQueue;
    PersistentMap<Long, DelayedRequest> mDelayed;
    PersistentMap<Long, RunningCommand> mRunning;
    PersistentMap<Long, UnacknowledgedWrite> mUnacknowledged;
    TransactionTable mTransactions;
    PersistentMap<WorkspaceId, TokenAllowance> mAllowances;
    Optional<Long> mHandoverStartNanos;
    boolean mReleased;
    long mDroppedTerm;
    long mNextNumber;

    GroupStep(GroupPolicies policies, GroupState state, long nowNanos) {
        mPolicies = policies;
        mNowNanos = nowNanos;
        mView = state.mView;
        mHistory = state.mHistory;
        mCopies = state.mCopies;
        mPools = state.mPools;
        mConnections = state.mConnections;
        mBackoff = state.mBackoff;
        mTransactionQueue = state.mTransactionQueue;
        mPrimaryQueue = state.mPrimaryQueue;
        mReplicaQueue = state.mReplicaQueue;
        mDelayed = state.mDelayed;
        mRunning = state.mRunning;
        mUnacknowledged = state.mUnacknowledged;
        mTransactions = state.mTransactions;
        mAllowances = state.mAllowances;
        mHandoverStartNanos = state.mHandoverStartNanos;
        mReleased = state.mReleased;
        mDroppedTerm = state.mDroppedTerm;
        mNextNumber = state.mNextNumber;
    }

    Decision<GroupState, GroupAction> decision() {
        return new Decision<>(new GroupState(this), mActions);
    }

    boolean leaseValid() {
        return mView.leaseValid(mNowNanos);
    }

    /** Returns the primary if new statements may start there. */
    Optional<EndpointId> usablePrimary() {
        return mView.term() > mDroppedTerm ? mView.usablePrimary() : Optional.empty();
    }

    /** Returns whether requests outside of open transactions may start. */
    boolean acceptsRequests() {
        return leaseValid() && mHandoverStartNanos.isEmpty() && !mReleased;
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

    void reply(PendingRequest pending, GroupAnswer answer) {
        mActions.add(
                new GroupAction.Reply(
                        pending.origin(), pending.request().id(), new Outcome.Answered(answer)));
    }

    /**
     * Replies with a failure. If an earlier attempt may have run, "not run" is replaced by "may
     * have run".
     */
    void fail(PendingRequest pending, Failure failure) {
        boolean mayHaveRun = pending.mayHaveRun() && failure.verdict() == Verdict.NOT_RUN;
        Failure reported = mayHaveRun ? Failure.mayHaveRun(failure.message()) : failure;
        mActions.add(
                new GroupAction.Reply(
                        pending.origin(), pending.request().id(), new Outcome.Failed(reported)));
    }

    void failMoved(PendingRequest pending) {
        fail(pending, Failure.notRun(ErrorCode.MOVED, "the group moves to another host"));
    }

    /** Adds a request to the queue that it belongs to. */
    void enqueue(PendingRequest pending, boolean atFront) {
        if (pending.transaction().isPresent()) {
            mTransactionQueue = queued(mTransactionQueue, pending, atFront);
        } else if (pending.isRead() && !pending.primaryOnly()) {
            mReplicaQueue = queued(mReplicaQueue, pending, atFront);
        } else {
            mPrimaryQueue = queued(mPrimaryQueue, pending, atFront);
        }
    }

    private static FairQueue<PendingRequest> queued(
            FairQueue<PendingRequest> queue, PendingRequest pending, boolean atFront) {
        long tokenDeadline = pending.arrivedNanos() + GroupPolicies.MAX_TOKEN_WAIT.toNanos();
        long deadline =
                pending.needsToken()
                        ? Math.min(pending.deadlineNanos(), tokenDeadline)
                        : pending.deadlineNanos();
        return atFront
                ? queue.withFirst(pending.workspace(), pending, 1, deadline)
                : queue.with(pending.workspace(), pending, 1, deadline);
    }

    void delay(PendingRequest pending, long untilNanos, boolean replica) {
        long until = Math.min(untilNanos, pending.deadlineNanos());
        mDelayed = mDelayed.with(mNextNumber++, new DelayedRequest(pending, until, replica));
    }

    /**
     * Retries a request later, or fails it if it cannot wait here.
     *
     * @param pending request that did not run or is idempotent
     * @param failure failure to report if the request cannot wait
     */
    void retry(PendingRequest pending, Failure failure) {
        if (!acceptsRequests()) {
            fail(pending, failure.verdict() == Verdict.NOT_RUN ? moved() : failure);
        } else if (pending.deadlineNanos() - mNowNanos <= RETRY_NANOS) {
            fail(pending, failure);
        } else {
            delay(pending, mNowNanos + RETRY_NANOS, false);
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
    void rollBack(TransactionTable.OpenTransaction open) {
        mTransactions = mTransactions.without(open.id());
        close(open.connection());
    }

    void finishTransaction(TransactionId id) {
        mTransactions
                .find(id)
                .ifPresent(
                        open -> {
                            mTransactions = mTransactions.without(id);
                            markIdle(open.connection());
                        });
    }

    void markIdle(long connection) {
        EndpointId endpoint = mConnections.get(connection);
        if (endpoint != null) {
            mPools = mPools.with(endpoint, pool(endpoint).withIdle(connection));
        }
    }

    /** Excludes a copy from reads until its next status arrives. */
    void clearStatus(EndpointId endpoint) {
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
                                                        mNowNanos)));
    }
}
