package org.crocusturn.core.endpoints;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.crocusturn.core.ErrorCode;
import org.crocusturn.core.Failure;
import org.crocusturn.core.callers.FairQueue;
import org.crocusturn.core.callers.GroupOperation;
import org.crocusturn.core.operators.RateLimit;

/** Ends what has waited or run for too long. */
final class GroupTimes {
    /** On handover, open transactions get this time to end. */
    private static final long HANDOVER_NANOS = 5_000_000_000L;

    private GroupTimes() {}

    static void tick(GroupStep step) {
        GroupResults.acknowledgeAll(step);
        for (Running running : step.mRunning.values().toList()) {
            if (step.mNow - running.untilNanos() >= 0) {
                GroupResults.abandon(step, running, "the database did not answer");
            }
        }
        endTransactions(step);
        GroupLinks.wake(step, d -> step.mNow - d.untilNanos() >= 0);
        expire(step);
        if (!step.leaseValid()) {
            GroupLease.failWaiting(step);
            List<Work> waiting = step.mTransactionLane.toList();
            step.mTransactionLane = FairQueue.empty();
            waiting.forEach(w -> failUnstarted(step, w, moved()));
        }
    }

    private static Failure moved() {
        return Failure.notRun(ErrorCode.MOVED, "the group lease has run out");
    }

    private static void endTransactions(GroupStep step) {
        boolean handedOver =
                step.mHandoverNanos.map(h -> step.mNow - h >= HANDOVER_NANOS).orElse(false);
        List<TransactionTable.Open> ended =
                handedOver
                        ? step.mTransactions.all().toList()
                        : step.mTransactions.overdue(step.mNow);
        for (TransactionTable.Open open : ended) {
            Running running = step.mRunning.get(open.connection());
            if (running == null) {
                step.drop(open);
            } else if (!(running.work().operation() instanceof GroupOperation.Commit)) {
                GroupResults.abandon(step, running, "the transaction was open for too long");
            }
        }
    }

    private static void expire(GroupStep step) {
        FairQueue.Expired<Work> transactions = step.mTransactionLane.expire(step.mNow);
        FairQueue.Expired<Work> primary = step.mPrimaryLane.expire(step.mNow);
        FairQueue.Expired<Work> replica = step.mReplicaLane.expire(step.mNow);
        step.mTransactionLane = transactions.remaining();
        step.mPrimaryLane = primary.remaining();
        step.mReplicaLane = replica.remaining();
        List<Work> kept = new ArrayList<>();
        for (FairQueue.Expired<Work> lane : List.of(transactions, primary, replica)) {
            for (Work work : lane.dropped()) {
                Optional<Failure> refusal = refusal(step, work);
                if (refusal.isPresent()) {
                    failUnstarted(step, work, refusal.get());
                } else {
                    kept.add(pay(step, work));
                }
            }
        }
        for (int i = kept.size() - 1; i >= 0; i--) {
            step.enqueue(kept.get(i), true);
        }
    }

    /** Returns why work whose time in the queue has passed ends, or nothing if it has a token. */
    private static Optional<Failure> refusal(GroupStep step, Work work) {
        if (work.deadlineNanos() - step.mNow <= 0) {
            return Optional.of(
                    Failure.notRun(ErrorCode.TIMED_OUT, "the request waited until its deadline"));
        }
        RateLimit limit = step.mView.rates().get(work.workspace());
        return limit == null
                ? Optional.of(moved())
                : step.mPolicies.waiting().refusal(GroupArrivals.load(step, work, limit));
    }

    /** Spends the token that work found while it waits for a slot. */
    private static Work pay(GroupStep step, Work work) {
        return step.allowance(work.workspace())
                .spend(step.mNow)
                .map(
                        allowance -> {
                            step.mAllowances = step.mAllowances.with(work.workspace(), allowance);
                            return work.withPaid();
                        })
                .orElse(work);
    }

    private static void failUnstarted(GroupStep step, Work work, Failure failure) {
        work.transaction()
                .flatMap(step.mTransactions::find)
                .ifPresent(
                        open ->
                                step.mTransactions =
                                        step.mTransactions.with(open.withIdle(false, step.mNow)));
        step.fail(work, failure);
    }
}
