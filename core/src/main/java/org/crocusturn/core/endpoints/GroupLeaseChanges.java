package org.crocusturn.core.endpoints;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.ErrorCode;
import org.crocusturn.core.Failure;
import org.crocusturn.core.PersistentMap;
import org.crocusturn.core.callers.FairQueue;
import org.crocusturn.core.callers.Role;

/** Handles lease and term changes of a group: acquisition, superseded terms and handover. */
final class GroupLeaseChanges {
    private GroupLeaseChanges() {}

    static void handleView(GroupStep step, GroupView view) {
        if (view.term() < step.mView.term()) {
            return;
        }
        if (view.epoch() != step.mView.epoch()) {
            endEpoch(step);
        }
        step.mView = view;
        if (view.primary().isPresent()) {
            step.mHistory = step.mHistory.withTerm(view.term(), view.startIndex());
        }
        updateCopies(step);
        endSupersededWork(step);
        GroupResults.acknowledgeAll(step);
        if (view.handoverRequested()) {
            beginHandover(step);
        }
    }

    /** Ends all requests of a lease epoch, because another host may hold the lease now. */
    private static void endEpoch(GroupStep step) {
        step.mReleased = true;
        for (RunningCommand running : step.mRunning.values().toList()) {
            GroupResults.abandon(step, running, "the group lease was lost");
        }
        step.mUnacknowledged
                .values()
                .forEach(
                        w ->
                                step.fail(
                                        w.pending(),
                                        Failure.mayHaveRun(
                                                "the group lease was lost before the write was"
                                                        + " acknowledged")));
        step.mUnacknowledged = PersistentMap.empty();
        step.mTransactions = TransactionTable.EMPTY;
        failQueuedTransactions(step);
        failWaiting(step);
        step.closeAll();
        // The leader assumes that only a leaseholder spends granted tokens.
        step.mAllowances
                .entries()
                .toList()
                .forEach(
                        e ->
                                step.mAllowances =
                                        step.mAllowances.with(e.key(), e.value().withoutGrants()));
        step.mBackoff = PersistentMap.empty();
        step.mHandoverStartNanos = Optional.empty();
        step.mReleased = false;
        step.mDroppedTerm = 0;
    }

    private static void failQueuedTransactions(GroupStep step) {
        step.mTransactionQueue
                .toList()
                .forEach(
                        w ->
                                step.fail(
                                        w,
                                        Failure.notRun(
                                                ErrorCode.TRANSACTION_LOST,
                                                "the transaction was rolled back")));
        step.mTransactionQueue = FairQueue.empty();
    }

    /** Fails all waiting requests outside of open transactions. */
    static void failWaiting(GroupStep step) {
        List<PendingRequest> waiting = new ArrayList<>(step.mPrimaryQueue.toList());
        waiting.addAll(step.mReplicaQueue.toList());
        step.mDelayed.values().map(DelayedRequest::pending).forEach(waiting::add);
        step.mPrimaryQueue = FairQueue.empty();
        step.mReplicaQueue = FairQueue.empty();
        step.mDelayed = PersistentMap.empty();
        waiting.forEach(step::failMoved);
    }

    private static void updateCopies(GroupStep step) {
        PersistentMap<EndpointId, CopyView> copies = PersistentMap.empty();
        for (Map.Entry<EndpointId, GroupView.Copy> entry : step.mView.copies().entrySet()) {
            GroupView.Copy copy = entry.getValue();
            CopyView old = step.mCopies.get(entry.getKey());
            copies =
                    copies.with(
                            entry.getKey(),
                            new CopyView(
                                    entry.getKey(),
                                    copy.limits(),
                                    copy.inService(),
                                    old == null ? Optional.empty() : old.status(),
                                    old == null ? step.mNowNanos : old.lastSeenNanos()));
            ConnectionPool pool = step.mPools.get(entry.getKey());
            if (pool != null) {
                step.mPools = step.mPools.with(entry.getKey(), pool.withLimits(copy.limits()));
            }
        }
        step.mCopies = copies;
        closeUnusedConnections(step);
    }

    /**
     * Closes the connections to removed endpoints and the idle connections to replicas out of
     * service.
     */
    private static void closeUnusedConnections(GroupStep step) {
        for (PersistentMap.Entry<Long, EndpointId> entry : step.mConnections.entries().toList()) {
            long connection = entry.key();
            CopyView copy = step.mCopies.get(entry.value());
            RunningCommand running = step.mRunning.get(connection);
            if (copy == null && running != null) {
                GroupResults.abandon(step, running, "the endpoint was removed");
            } else if (copy == null) {
                step.mTransactions
                        .all()
                        .filter(t -> t.connection() == connection)
                        .findFirst()
                        .ifPresent(step::rollBack);
                step.close(connection);
            }
        }
        step.mCopies
                .values()
                .filter(c -> !c.inService())
                .filter(c -> !step.mView.primary().equals(Optional.of(c.endpoint())))
                .forEach(c -> step.pool(c.endpoint()).idleConnections().forEach(step::close));
    }

    /** Ends commands and transactions at the primary whose term may no longer be acknowledged. */
    private static void endSupersededWork(GroupStep step) {
        long term = step.mView.finishableTerm(step.mNowNanos);
        for (RunningCommand running : step.mRunning.values().toList()) {
            if (running.role() == Role.PRIMARY && running.term() != term) {
                GroupResults.abandon(step, running, "the primary was superseded");
            }
        }
        step.mTransactions.all().filter(t -> t.term() != term).toList().forEach(step::rollBack);
    }

    /** Stops accepting requests; running commands and open transactions continue. */
    static void beginHandover(GroupStep step) {
        if (step.mHandoverStartNanos.isEmpty() && step.mView.epoch() > 0) {
            step.mHandoverStartNanos = Optional.of(step.mNowNanos);
            failWaiting(step);
        }
    }

    /**
     * Drops the term permanently once the leader holds writes back and the term has no unfinished
     * commands, writes or transactions.
     *
     * <p>The leader relies on this, so a later grant of the same term must not start requests.
     */
    static void dropTermIfHeld(GroupStep step) {
        GroupView view = step.mView;
        boolean writesHeld =
                view.epoch() > 0
                        && view.acknowledgeTerm() == 0
                        && view.primary().isPresent()
                        && view.finishTerm() == view.term();
        boolean idle =
                step.mRunning.values().noneMatch(r -> r.role() == Role.PRIMARY)
                        && step.mUnacknowledged.isEmpty()
                        && step.mTransactions.size() == 0;
        if (writesHeld && idle) {
            step.mDroppedTerm = Math.max(step.mDroppedTerm, view.term());
        }
    }

    /** Releases the lease once no requests, transactions or unacknowledged writes remain. */
    static void releaseIfIdle(GroupStep step) {
        boolean idle =
                step.mRunning.isEmpty()
                        && step.mUnacknowledged.isEmpty()
                        && step.mTransactions.size() == 0
                        && step.mTransactionQueue.isEmpty()
                        && step.mDelayed.isEmpty();
        if (step.mHandoverStartNanos.isPresent() && !step.mReleased && idle) {
            step.closeAll();
            step.mReleased = true;
            step.mActions.add(new GroupAction.Released(step.mView.epoch()));
        }
    }
}
