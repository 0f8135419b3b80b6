package org.crocusturn.core.endpoints;

import java.util.Optional;
import org.crocusturn.core.HostId;
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.callers.Access;
import org.crocusturn.core.callers.GroupOperation;
import org.crocusturn.core.callers.GroupRequest;
import org.crocusturn.core.callers.Statement;
import org.crocusturn.core.callers.TransactionId;

/**
 * A request that has not been answered yet.
 *
 * @param origin host that received the request
 * @param request the request
 * @param secret random string for the identifier of a transaction that the request may begin
 * @param arrivedNanos monotonic time at which the request arrived
 * @param deadlineNanos monotonic time at which the request times out
 * @param firstRoutedNanos monotonic time of the first routing attempt; {@link Long#MIN_VALUE}
 *     before it
 * @param tokenSpent whether a rate token was spent for the request
 * @param primaryOnly whether the request may run only at the primary
 * @param mayHaveRun whether an earlier attempt may have taken effect
 */
record PendingRequest(
        HostId origin,
        GroupRequest request,
        String secret,
        long arrivedNanos,
        long deadlineNanos,
        long firstRoutedNanos,
        boolean tokenSpent,
        boolean primaryOnly,
        boolean mayHaveRun) {
    static PendingRequest of(GroupInput.RequestArrived arrived, long nowNanos) {
        long timeout = Math.max(1, arrived.request().timeoutMillis()) * 1_000_000;
        return new PendingRequest(
                arrived.origin(),
                arrived.request(),
                arrived.secret(),
                nowNanos,
                nowNanos + timeout,
                Long.MIN_VALUE,
                false,
                false,
                false);
    }

    WorkspaceId workspace() {
        return request.workspace();
    }

    GroupOperation operation() {
        return request.operation();
    }

    /** Returns the open transaction that the operation belongs to. */
    Optional<TransactionId> transaction() {
        if (operation() instanceof GroupOperation.ExecuteInTransaction execute) {
            return Optional.of(execute.transaction());
        }
        if (operation() instanceof GroupOperation.Commit commit) {
            return Optional.of(commit.transaction());
        }
        return operation() instanceof GroupOperation.Rollback rollback
                ? Optional.of(rollback.transaction())
                : Optional.empty();
    }

    Optional<Statement> statement() {
        if (operation() instanceof GroupOperation.Execute execute) {
            return Optional.of(execute.statement());
        }
        return operation() instanceof GroupOperation.ExecuteInTransaction execute
                ? Optional.of(execute.statement())
                : Optional.empty();
    }

    boolean isRead() {
        return statement().map(s -> s.access() == Access.READ).orElse(false);
    }

    /**
     * Returns whether a rate token is still needed; a rollback needs none, as it only frees
     * resources.
     */
    boolean needsToken() {
        return !tokenSpent && !(operation() instanceof GroupOperation.Rollback);
    }

    PendingRequest withTokenSpent() {
        return with(firstRoutedNanos, true, primaryOnly, mayHaveRun);
    }

    PendingRequest withPrimaryOnly() {
        return with(firstRoutedNanos, tokenSpent, true, mayHaveRun);
    }

    PendingRequest withMayHaveRun() {
        return with(firstRoutedNanos, tokenSpent, primaryOnly, true);
    }

    PendingRequest withFirstRouted(long nowNanos) {
        return with(nowNanos, tokenSpent, primaryOnly, mayHaveRun);
    }

    private PendingRequest with(
            long newFirstRouted,
            boolean newTokenSpent,
            boolean newPrimaryOnly,
            boolean newMayHaveRun) {
        return new PendingRequest(
                origin,
                request,
                secret,
                arrivedNanos,
                deadlineNanos,
                newFirstRouted,
                newTokenSpent,
                newPrimaryOnly,
                newMayHaveRun);
    }
}
