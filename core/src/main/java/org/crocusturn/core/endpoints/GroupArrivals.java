package org.crocusturn.core.endpoints;

import java.util.Optional;
import org.crocusturn.core.ErrorCode;
import org.crocusturn.core.Failure;
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.callers.AdmissionPolicy;
import org.crocusturn.core.callers.TransactionId;
import org.crocusturn.core.controlhosts.GrantedTokens;
import org.crocusturn.core.controlhosts.TokenAllowance;
import org.crocusturn.core.operators.RateLimit;

/** Admits requests and adds granted rate tokens. */
final class GroupArrivals {
    private GroupArrivals() {}

    static void arrive(GroupStep step, GroupInput.RequestArrived arrived) {
        Work work = Work.of(arrived, step.mNow);
        Optional<Failure> refusal = refusal(step, work, arrived.epoch());
        if (refusal.isPresent()) {
            step.fail(work, refusal.get());
            return;
        }
        WorkspaceId workspace = work.workspace();
        TokenAllowance allowance = step.allowance(workspace).withArrival(step.mNow);
        step.mAllowances = step.mAllowances.with(workspace, allowance);
        work.transaction()
                .flatMap(step.mTransactions::find)
                .ifPresent(open -> step.mTransactions = step.mTransactions.with(open.withBusy()));
        step.enqueue(work, false);
        if (work.needsToken() && allowance.available(step.mNow) == 0) {
            step.mActions.add(new GroupAction.TokensNeeded(workspace));
        }
    }

    private static Optional<Failure> refusal(GroupStep step, Work work, long epoch) {
        Optional<TransactionId> transaction = work.transaction();
        boolean known = transaction.flatMap(step.mTransactions::find).isPresent();
        boolean takes = known ? step.leaseValid() : step.takesWork();
        if (!takes || epoch != step.mView.epoch()) {
            return Optional.of(
                    Failure.notRun(ErrorCode.MOVED, "this host does not hold the group lease"));
        }
        RateLimit limit = step.mView.rates().get(work.workspace());
        if (limit == null) {
            return Optional.of(
                    Failure.notRun(
                            ErrorCode.UNAVAILABLE,
                            "the workspace is not configured on this host yet"));
        }
        Optional<Failure> refusal =
                transaction.flatMap(t -> step.mTransactions.refusal(t, work.workspace()));
        return refusal.isPresent()
                ? refusal
                : step.mPolicies.arrival().refusal(load(step, work, limit));
    }

    static AdmissionPolicy.Load load(GroupStep step, Work work, RateLimit limit) {
        WorkspaceId workspace = work.workspace();
        int queued =
                step.mTransactionLane.size(workspace)
                        + step.mPrimaryLane.size(workspace)
                        + step.mReplicaLane.size(workspace);
        return new AdmissionPolicy.Load(
                limit,
                step.allowance(workspace).available(step.mNow),
                queued,
                step.mNow - work.arrivedNanos());
    }

    static void granted(GroupStep step, GrantedTokens grant) {
        step.mAllowances =
                step.mAllowances.with(
                        grant.workspace(),
                        step.allowance(grant.workspace())
                                .withGrant(grant.tokens(), grant.expiresNanos()));
    }
}
