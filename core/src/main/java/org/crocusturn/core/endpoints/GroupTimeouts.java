package org.crocusturn.core.endpoints;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.crocusturn.core.ErrorCode;
import org.crocusturn.core.Failure;
import org.crocusturn.core.callers.FairQueue;
import org.crocusturn.core.callers.GroupOperation;
import org.crocusturn.core.operators.RateLimit;

/** Enforces the time limits of requests, commands and transactions. */
final class GroupTimeouts {
    /** Time that open transactions have to end during a handover. */
    private static final long HANDOVER_TIMEOUT_NANOS = 5_000_000_000L;

    private GroupTimeouts() {}

    static void tick(GroupStep step) {
        GroupResults.acknowledgeAll(step);
        for (RunningCommand running : step.mRunning.values().toList()) {
            if (step.mNowNanos - running.deadlineNanos() >= 0) {
                GroupResults.abandon(step, running, "the database did not respond in time");
            }
        }
        endExpiredTransactions(step);
        GroupConnectionEvents.requeue(step, d -> step.mNowNanos - d.retryNanos() >= 0);
        expireQueued(step);
        if (!step.leaseValid()) {
            GroupLeaseChanges.failWaiting(step);
            List<PendingRequest> waiting = step.mTransactionQueue.toList();
            step.mTransactionQueue = FairQueue.empty();
            waiting.forEach(w -> failUnstarted(step, w, leaseExpired()));
        }
    }

    private static Failure leaseExpired() {
        return Failure.notRun(ErrorCode.MOVED, "the group lease has expired");
    }

    private static void endExpiredTransactions(GroupStep step) {
        boolean handedOver =
                step.mHandoverStartNanos
                        .map(h -> step.mNowNanos - h >= HANDOVER_TIMEOUT_NANOS)
                        .orElse(false);
        List<TransactionTable.OpenTransaction> ended =
                handedOver
                        ? step.mTransactions.all().toList()
                        : step.mTransactions.expired(step.mNowNanos);
        for (TransactionTable.OpenTransaction open : ended) {
            RunningCommand running = step.mRunning.get(open.connection());
            if (running == null) {
                step.rollBack(open);
            } else if (!(running.pending().operation() instanceof GroupOperation.Commit)) {
                GroupResults.abandon(step, running, "the transaction was open for too long");
            }
        }
    }

    private static void expireQueued(GroupStep step) {
        FairQueue.Expired<PendingRequest> transactions =
                step.mTransactionQueue.expire(step.mNowNanos);
        FairQueue.Expired<PendingRequest> primary = step.mPrimaryQueue.expire(step.mNowNanos);
        FairQueue.Expired<PendingRequest> replica = step.mReplicaQueue.expire(step.mNowNanos);
        step.mTransactionQueue = transactions.remaining();
        step.mPrimaryQueue = primary.remaining();
        step.mReplicaQueue = replica.remaining();
        List<PendingRequest> stillWaiting = new ArrayList<>();
        for (FairQueue.Expired<PendingRequest> queue : List.of(transactions, primary, replica)) {
            for (PendingRequest pending : queue.dropped()) {
                Optional<Failure> refusal = refusal(step, pending);
                if (refusal.isPresent()) {
                    failUnstarted(step, pending, refusal.get());
                } else {
                    stillWaiting.add(spendToken(step, pending));
                }
            }
        }
        for (int i = stillWaiting.size() - 1; i >= 0; i--) {
            step.enqueue(stillWaiting.get(i), true);
        }
    }

    /**
     * Returns why a request whose queue deadline has passed is refused, or empty if it may stay.
     */
    private static Optional<Failure> refusal(GroupStep step, PendingRequest pending) {
        if (pending.deadlineNanos() - step.mNowNanos <= 0) {
            return Optional.of(
                    Failure.notRun(ErrorCode.TIMED_OUT, "the request timed out while it waited"));
        }
        RateLimit limit = step.mView.rates().get(pending.workspace());
        return limit == null
                ? Optional.of(leaseExpired())
                : step.mPolicies
                        .queuedAdmission()
                        .refusal(GroupAdmission.load(step, pending, limit));
    }

    /** Spends a token, if available, for a request that waits for a statement slot. */
    private static PendingRequest spendToken(GroupStep step, PendingRequest pending) {
        return step.allowance(pending.workspace())
                .spend(step.mNowNanos)
                .map(
                        allowance -> {
                            step.mAllowances =
                                    step.mAllowances.with(pending.workspace(), allowance);
                            return pending.withTokenSpent();
                        })
                .orElse(pending);
    }

    private static void failUnstarted(GroupStep step, PendingRequest pending, Failure failure) {
        pending.transaction()
                .flatMap(step.mTransactions::find)
                .ifPresent(
                        open ->
                                step.mTransactions =
                                        step.mTransactions.with(
                                                open.withIdle(false, step.mNowNanos)));
        step.fail(pending, failure);
    }
}
