package org.crocusturn.core.endpoints;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Function;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.ErrorCode;
import org.crocusturn.core.Failure;
import org.crocusturn.core.LogPosition;
import org.crocusturn.core.callers.Access;
import org.crocusturn.core.callers.FairQueue;
import org.crocusturn.core.callers.GroupOperation;
import org.crocusturn.core.callers.Role;
import org.crocusturn.core.callers.SessionMark;
import org.crocusturn.core.callers.Statement;

/**
 * Starts queued requests: first those of open transactions, then replica reads, then requests for
 * the primary.
 */
final class GroupDispatcher {
    /**
     * Maximum time that a read waits for the answer of a replica before it is retried elsewhere.
     */
    private static final long REPLICA_TIMEOUT_MILLIS = 1_000;

    private final GroupStep mStep;
    private final List<EndpointId> mEndpointsToConnect = new ArrayList<>();

    /** Replicas in ascending order of load; null until a read needs them. */
    private List<CopyView> mReplicas;

    private Plan mPlan;

    private GroupDispatcher(GroupStep step) {
        mStep = step;
    }

    /** The decision on the first queued request of a workspace. */
    private sealed interface Plan {
        record Start(EndpointId endpoint, Role role, String reason, RoutingPolicy routing)
                implements Plan {}

        record Postpone(long retryNanos, boolean waitsForReplica) implements Plan {}

        record UsePrimary() implements Plan {}

        record Refuse(Failure failure) implements Plan {}
    }

    static void run(GroupStep step) {
        boolean queuesEmpty =
                step.mTransactionQueue.isEmpty()
                        && step.mReplicaQueue.isEmpty()
                        && step.mPrimaryQueue.isEmpty();
        if (queuesEmpty || !step.leaseValid() || step.mReleased) {
            return;
        }
        GroupDispatcher dispatcher = new GroupDispatcher(step);
        dispatcher.drain(s -> s.mTransactionQueue, (s, q) -> s.mTransactionQueue = q);
        dispatcher.drain(s -> s.mReplicaQueue, (s, q) -> s.mReplicaQueue = q);
        dispatcher.drain(s -> s.mPrimaryQueue, (s, q) -> s.mPrimaryQueue = q);
        dispatcher.openConnections();
    }

    /** Dispatches requests from a queue until no more of them can start. */
    private void drain(
            Function<GroupStep, FairQueue<PendingRequest>> queue,
            BiConsumer<GroupStep, FairQueue<PendingRequest>> store) {
        Optional<FairQueue.Taken<PendingRequest>> taken = queue.apply(mStep).take(this::plan);
        while (taken.isPresent()) {
            store.accept(mStep, taken.get().remaining());
            execute(taken.get().value(), mPlan);
            taken = queue.apply(mStep).take(this::plan);
        }
    }

    private boolean plan(PendingRequest pending) {
        mPlan =
                pending.transaction().isPresent()
                        ? planTransaction(pending)
                        : mStep.acceptsRequests() ? planSession(pending) : null;
        return mPlan != null;
    }

    private boolean hasToken(PendingRequest pending) {
        return !pending.needsToken()
                || mStep.allowance(pending.workspace()).available(mStep.mNowNanos) > 0;
    }

    private Plan planTransaction(PendingRequest pending) {
        Optional<TransactionTable.OpenTransaction> open =
                pending.transaction().flatMap(mStep.mTransactions::find);
        if (open.isEmpty()) {
            return new Plan.Refuse(
                    Failure.notRun(ErrorCode.TRANSACTION_LOST, "the transaction was rolled back"));
        }
        EndpointId endpoint = mStep.mConnections.get(open.get().connection());
        boolean canStart =
                hasToken(pending)
                        && open.get().term() == mStep.mView.finishableTerm(mStep.mNowNanos)
                        && mStep.pool(endpoint).freeSlots() > 0;
        return canStart ? new Plan.Start(endpoint, Role.PRIMARY, "transaction", null) : null;
    }

    /** Checks the session mark of a request outside of transactions and routes the request. */
    private Plan planSession(PendingRequest pending) {
        SessionMark mark = pending.request().mark();
        if (mStep.mHistory.isDiscarded(mark.lastWrite())) {
            return new Plan.Refuse(
                    Failure.notRun(
                            ErrorCode.SESSION_LOST,
                            "a failover discarded the write at " + mark.lastWrite()));
        }
        if (mark.required().term() > mStep.mHistory.term()) {
            return new Plan.Postpone(mStep.mNowNanos + GroupStep.RETRY_NANOS, false);
        }
        boolean replica = pending.isRead() && !pending.primaryOnly();
        return hasToken(pending) ? (replica ? planReplica(pending) : planPrimary(pending)) : null;
    }

    private Plan planPrimary(PendingRequest pending) {
        Optional<EndpointId> primary = mStep.usablePrimary();
        if (primary.isEmpty()) {
            return null;
        }
        boolean begin = pending.operation() instanceof GroupOperation.Begin;
        if (begin && !mStep.pool(primary.get()).canBeginTransaction()) {
            return null;
        }
        String reason = pending.isRead() ? "read at the primary" : begin ? "begin" : "write";
        return canStart(primary.get())
                ? new Plan.Start(primary.get(), Role.PRIMARY, reason, null)
                : null;
    }

    private Plan planReplica(PendingRequest pending) {
        Statement statement = pending.statement().orElseThrow();
        RoutingPolicy policy =
                mStep.mPolicies
                        .routing()
                        .choose(statement, pending.request().hasToken(), mStep.mView);
        mReplicas = mReplicas == null ? mStep.replicas() : mReplicas;
        Route route = policy.route(query(mStep, pending, mReplicas));
        if (route instanceof Route.ToReplica replica) {
            return canStart(replica.endpoint())
                    ? new Plan.Start(replica.endpoint(), Role.REPLICA, route.reason(), policy)
                    : null;
        }
        return route instanceof Route.Wait wait
                ? new Plan.Postpone(wait.untilNanos(), true)
                : new Plan.UsePrimary();
    }

    static RoutingPolicy.Query query(
            GroupStep step, PendingRequest pending, List<CopyView> replicas) {
        SessionMark mark = pending.request().mark();
        LogPosition read =
                step.mHistory.contains(mark.lastRead()) ? mark.lastRead() : LogPosition.ZERO;
        long routed =
                pending.firstRoutedNanos() == Long.MIN_VALUE
                        ? step.mNowNanos
                        : pending.firstRoutedNanos();
        return new RoutingPolicy.Query(
                replicas, step.mHistory, mark.lastWrite().max(read), routed, step.mNowNanos);
    }

    private boolean canStart(EndpointId endpoint) {
        ConnectionPool pool = mStep.pool(endpoint);
        if (pool.freeSlots() <= 0) {
            return false;
        }
        if (!pool.hasIdle()) {
            mEndpointsToConnect.add(endpoint);
            return false;
        }
        return true;
    }

    private void execute(PendingRequest pending, Plan plan) {
        if (plan instanceof Plan.Refuse refuse) {
            mStep.fail(pending, refuse.failure());
        } else if (plan instanceof Plan.UsePrimary) {
            mStep.enqueue(pending.withPrimaryOnly(), false);
        } else if (plan instanceof Plan.Postpone postpone) {
            PendingRequest routed =
                    pending.firstRoutedNanos() == Long.MIN_VALUE
                            ? pending.withFirstRouted(mStep.mNowNanos)
                            : pending;
            mStep.delay(routed, postpone.retryNanos(), postpone.waitsForReplica());
        } else if (plan instanceof Plan.Start start) {
            start(spendToken(pending), start);
        }
    }

    private PendingRequest spendToken(PendingRequest pending) {
        if (pending.needsToken()) {
            mStep.mAllowances =
                    mStep.mAllowances.with(
                            pending.workspace(),
                            mStep.allowance(pending.workspace())
                                    .spend(mStep.mNowNanos)
                                    .orElseThrow());
        }
        return pending.withTokenSpent();
    }

    private void start(PendingRequest pending, Plan.Start start) {
        ConnectionPool pool = mStep.pool(start.endpoint());
        Optional<TransactionTable.OpenTransaction> open =
                pending.transaction().flatMap(mStep.mTransactions::find);
        long connection =
                open.map(TransactionTable.OpenTransaction::connection)
                        .orElseGet(() -> pool.idle().orElseThrow());
        boolean pinned = open.isPresent() || pending.operation() instanceof GroupOperation.Begin;
        mStep.mPools =
                mStep.mPools.with(
                        start.endpoint(),
                        pinned ? pool.withPinnedRunning(connection) : pool.withRunning(connection));
        long term = open.map(TransactionTable.OpenTransaction::term).orElse(mStep.mHistory.term());
        long timeout = timeoutMillis(pending, start.role());
        long command = mStep.mNextNumber++;
        mStep.mRunning =
                mStep.mRunning.with(
                        connection,
                        new RunningCommand(
                                connection,
                                command,
                                start.endpoint(),
                                start.role(),
                                term,
                                pending,
                                start.routing(),
                                mStep.mNowNanos + (timeout + 1_000) * 1_000_000));
        mStep.mActions.add(
                new GroupAction.LogRoute(
                        pending.origin(),
                        pending.request().id(),
                        pending.workspace(),
                        start.endpoint(),
                        start.reason()));
        mStep.mActions.add(
                new GroupAction.SendCommand(connection, command, command(pending, term), timeout));
        if (start.role() == Role.REPLICA) {
            mReplicas = null;
        }
    }

    private long timeoutMillis(PendingRequest pending, Role role) {
        long remaining = Math.max(1, (pending.deadlineNanos() - mStep.mNowNanos) / 1_000_000);
        return role == Role.REPLICA ? Math.min(remaining, REPLICA_TIMEOUT_MILLIS) : remaining;
    }

    private static DatabaseCommand command(PendingRequest pending, long term) {
        GroupOperation operation = pending.operation();
        if (operation instanceof GroupOperation.Begin) {
            return new DatabaseCommand.Begin(term);
        }
        if (operation instanceof GroupOperation.Commit) {
            return new DatabaseCommand.Commit(term);
        }
        if (operation instanceof GroupOperation.Rollback) {
            return new DatabaseCommand.Rollback();
        }
        Statement statement = pending.statement().orElseThrow();
        boolean idempotent =
                operation instanceof GroupOperation.Execute
                        && statement.access() == Access.WRITE
                        && statement.requestId().isPresent();
        return idempotent
                ? new DatabaseCommand.RunOnce(term, pending.workspace(), statement)
                : new DatabaseCommand.Run(term, statement);
    }

    /** Opens as many connections as the queued requests can use concurrently. */
    private void openConnections() {
        for (EndpointId endpoint : mEndpointsToConnect.stream().distinct().toList()) {
            Long backoff = mStep.mBackoff.get(endpoint);
            if (backoff != null && backoff > mStep.mNowNanos) {
                continue;
            }
            int waiting = mStep.mPrimaryQueue.size() + mStep.mReplicaQueue.size();
            ConnectionPool pool = mStep.pool(endpoint);
            while (pool.canOpen() && pool.opening() < Math.min(waiting, pool.freeSlots())) {
                long connection = mStep.mNextNumber++;
                pool = pool.withOpening(connection);
                mStep.mConnections = mStep.mConnections.with(connection, endpoint);
                mStep.mActions.add(
                        new GroupAction.OpenConnection(
                                connection,
                                endpoint,
                                mStep.mView.group().database(),
                                mStep.mView.epoch()));
            }
            mStep.mPools = mStep.mPools.with(endpoint, pool);
        }
    }
}
