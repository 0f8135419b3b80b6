package org.crocusturn.core.endpoints;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.stream.LongStream;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.GroupId;
import org.crocusturn.core.LogPosition;
import org.crocusturn.core.PersistentMap;
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.callers.FairQueue;
import org.crocusturn.core.callers.Role;
import org.crocusturn.core.controlhosts.HeldLease;
import org.crocusturn.core.controlhosts.TokenAllowance;
import org.crocusturn.core.controlhosts.TokenDemand;

/**
 * State of one group at an entry host.
 *
 * <p>Immutable. The host keeps it for the lifetime of the process, even while it does not hold the
 * lease, because the totals of spent tokens must never decrease.
 */
public final class GroupState {
    final GroupView mView;
    final TermHistory mHistory;
    final PersistentMap<EndpointId, CopyView> mCopies;
    final PersistentMap<EndpointId, ConnectionPool> mPools;
    final PersistentMap<Long, EndpointId> mConnections;
    final PersistentMap<EndpointId, Long> mBackoff;
    final FairQueue<PendingRequest> mTransactionQueue;
    final FairQueue<PendingRequest> mPrimaryQueue;
    final FairQueue<PendingRequest> mReplicaQueue;
    final PersistentMap<Long, DelayedRequest> mDelayed;
    final PersistentMap<Long, RunningCommand> mRunning;
    final PersistentMap<Long, UnacknowledgedWrite> mUnacknowledged;
    final TransactionTable mTransactions;
    final PersistentMap<WorkspaceId, TokenAllowance> mAllowances;
    final Optional<Long> mHandoverStartNanos;
    final boolean mReleased;
    final long mDroppedTerm;
    final long mNextNumber;

    GroupState(GroupStep step) {
        mView = step.mView;
        mHistory = step.mHistory;
        mCopies = step.mCopies;
        mPools = step.mPools;
        mConnections = step.mConnections;
        mBackoff = step.mBackoff;
        mTransactionQueue = step.mTransactionQueue;
        mPrimaryQueue = step.mPrimaryQueue;
        mReplicaQueue = step.mReplicaQueue;
        mDelayed = step.mDelayed;
        mRunning = step.mRunning;
        mUnacknowledged = step.mUnacknowledged;
        mTransactions = step.mTransactions;
        mAllowances = step.mAllowances;
        mHandoverStartNanos = step.mHandoverStartNanos;
        mReleased = step.mReleased;
        mDroppedTerm = step.mDroppedTerm;
        mNextNumber = step.mNextNumber;
    }

    private GroupState(GroupView view) {
        mView = Objects.requireNonNull(view, "view");
        mHistory = TermHistory.EMPTY;
        mCopies = PersistentMap.empty();
        mPools = PersistentMap.empty();
        mConnections = PersistentMap.empty();
        mBackoff = PersistentMap.empty();
        mTransactionQueue = FairQueue.empty();
        mPrimaryQueue = FairQueue.empty();
        mReplicaQueue = FairQueue.empty();
        mDelayed = PersistentMap.empty();
        mRunning = PersistentMap.empty();
        mUnacknowledged = PersistentMap.empty();
        mTransactions = TransactionTable.EMPTY;
        mAllowances = PersistentMap.empty();
        mHandoverStartNanos = Optional.empty();
        mReleased = false;
        mDroppedTerm = 0;
        mNextNumber = 1;
    }

    /** Creates the initial state of a group. */
    public static GroupState of(GroupId group) {
        return new GroupState(GroupView.unknown(group));
    }

    /** Returns the group. */
    public GroupId group() {
        return mView.group();
    }

    /** Returns the latest view. */
    public GroupView view() {
        return mView;
    }

    /**
     * Returns whether all requests of the lease epoch have ended and all connections are closed.
     */
    public boolean released() {
        return mReleased;
    }

    /** Returns the number of open transactions. */
    public int openTransactions() {
        return mTransactions.size();
    }

    /** Returns the number of waiting requests. */
    public int waiting() {
        return mTransactionQueue.size()
                + mPrimaryQueue.size()
                + mReplicaQueue.size()
                + mDelayed.size();
    }

    /** Returns the number of unfinished requests and open transactions. */
    public int unfinished() {
        return waiting() + mRunning.size() + mUnacknowledged.size() + mTransactions.size();
    }

    /** Returns the number of connections to an endpoint, including those being opened. */
    public int connections(EndpointId endpoint) {
        return mPools.find(endpoint).map(ConnectionPool::size).orElse(0);
    }

    /** Returns the number of running statements at an endpoint. */
    public int running(EndpointId endpoint) {
        return mPools.find(endpoint).map(ConnectionPool::running).orElse(0);
    }

    /** Returns the lease state to report; empty if the host holds no lease. */
    public Optional<HeldLease> heldLease() {
        return mView.epoch() == 0
                ? Optional.empty()
                : Optional.of(
                        new HeldLease(
                                group(), mView.epoch(), droppedTerm(), mReleased, unfinished()));
    }

    /**
     * Returns the highest term whose writes will never again be acknowledged; 0 if there is none.
     */
    public long droppedTerm() {
        LongStream activeTerms =
                LongStream.concat(
                        LongStream.concat(
                                mRunning.values()
                                        .filter(r -> r.role() == Role.PRIMARY)
                                        .mapToLong(RunningCommand::term),
                                mUnacknowledged.values().mapToLong(UnacknowledgedWrite::term)),
                        mTransactions.all().mapToLong(TransactionTable.OpenTransaction::term));
        long belowActive = Math.min(mView.term(), activeTerms.min().orElse(mView.term())) - 1;
        return Math.max(mDroppedTerm, belowActive);
    }

    /** Returns the rate tokens that each workspace needs in this group. */
    public List<TokenDemand> demands(long nowNanos) {
        return mAllowances
                .entries()
                .map(
                        e ->
                                new TokenDemand(
                                        e.key(),
                                        e.value().wanted(queued(e.key()), nowNanos),
                                        e.value().spentTotal()))
                .toList();
    }

    /** Returns the number of queued requests of a workspace. */
    public int queued(WorkspaceId workspace) {
        return mTransactionQueue.size(workspace)
                + mPrimaryQueue.size(workspace)
                + mReplicaQueue.size(workspace);
    }

    /** Returns the last position that a copy is known to have reached. */
    public Optional<LogPosition> position(EndpointId endpoint) {
        return mCopies.find(endpoint).flatMap(CopyView::status).map(CopyStatus::position);
    }
}
