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
final class GroupAdmission {
    private GroupAdmission() {}

    static void handleRequest(GroupStep step, GroupInput.RequestArrived arrived) {
        PendingRequest pending = PendingRequest.of(arrived, step.mNowNanos);
        Optional<Failure> refusal = refusal(step, pending, arrived.epoch());
        if (refusal.isPresent()) {
            step.fail(pending, refusal.get());
            return;
        }
        WorkspaceId workspace = pending.workspace();
        TokenAllowance allowance = step.allowance(workspace).withArrival(step.mNowNanos);
        step.mAllowances = step.mAllowances.with(workspace, allowance);
        pending.transaction()
                .flatMap(step.mTransactions::find)
                .ifPresent(open -> step.mTransactions = step.mTransactions.with(open.withBusy()));
        step.enqueue(pending, false);
        if (pending.needsToken() && allowance.available(step.mNowNanos) == 0) {
            step.mActions.add(new GroupAction.TokensNeeded(workspace));
        }
    }

    private static Optional<Failure> refusal(GroupStep step, PendingRequest pending, long epoch) {
        Optional<TransactionId> transaction = pending.transaction();
        boolean known = transaction.flatMap(step.mTransactions::find).isPresent();
        boolean accepts = known ? step.leaseValid() : step.acceptsRequests();
        if (!accepts || epoch != step.mView.epoch()) {
            return Optional.of(
                    Failure.notRun(ErrorCode.MOVED, "this host does not hold the group lease"));
        }
        RateLimit limit = step.mView.rates().get(pending.workspace());
        if (limit == null) {
            return Optional.of(
                    Failure.notRun(
                            ErrorCode.UNAVAILABLE,
                            "the workspace is not configured on this host yet"));
        }
        Optional<Failure> refusal =
                transaction.flatMap(t -> step.mTransactions.refusal(t, pending.workspace()));
        return refusal.isPresent()
                ? refusal
                : step.mPolicies.arrivalAdmission().refusal(load(step, pending, limit));
    }

    static AdmissionPolicy.Load load(GroupStep step, PendingRequest pending, RateLimit limit) {
        WorkspaceId workspace = pending.workspace();
        int queued =
                step.mTransactionQueue.size(workspace)
                        + step.mPrimaryQueue.size(workspace)
                        + step.mReplicaQueue.size(workspace);
        return new AdmissionPolicy.Load(
                limit,
                step.allowance(workspace).available(step.mNowNanos),
                queued,
                step.mNowNanos - pending.arrivedNanos());
    }

    static void handleGrant(GroupStep step, GrantedTokens grant) {
        step.mAllowances =
                step.mAllowances.with(
                        grant.workspace(),
                        step.allowance(grant.workspace())
                                .withGrant(grant.tokens(), grant.expiresNanos()));
    }
}
