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

/** Starts waiting work: open transactions first, then the primary's work, then replica reads. */
final class GroupDispatch {
    /** A read waits for a replica's answer at most this long, so that it can still go elsewhere. */
    private static final long REPLICA_TIMEOUT_MILLIS = 1_000;

    private final GroupStep mStep;
    private final List<EndpointId> mWanted = new ArrayList<>();

    /** Copies in the order of their load; null until a read needs them. */
    private List<CopyView> mReplicas;

    private Plan mPlan;

    private GroupDispatch(GroupStep step) {
        mStep = step;
    }

    /** Is what happens to the first request of a workspace. */
    private sealed interface Plan {
        record Start(EndpointId endpoint, Role role, String reason, RoutingPolicy routing)
                implements Plan {}

        record Later(long untilNanos, boolean replica) implements Plan {}

        record UsePrimary() implements Plan {}

        record Refuse(Failure failure) implements Plan {}
    }

    static void run(GroupStep step) {
        boolean nothing =
                step.mTransactionLane.isEmpty()
                        && step.mReplicaLane.isEmpty()
                        && step.mPrimaryLane.isEmpty();
        if (nothing || !step.leaseValid() || step.mReleased) {
            return;
        }
        GroupDispatch dispatch = new GroupDispatch(step);
        dispatch.drain(s -> s.mTransactionLane, (s, q) -> s.mTransactionLane = q);
        dispatch.drain(s -> s.mReplicaLane, (s, q) -> s.mReplicaLane = q);
        dispatch.drain(s -> s.mPrimaryLane, (s, q) -> s.mPrimaryLane = q);
        dispatch.openWanted();
    }

    /** Takes work from a lane until nothing in it can start. */
    private void drain(
            Function<GroupStep, FairQueue<Work>> lane,
            BiConsumer<GroupStep, FairQueue<Work>> store) {
        Optional<FairQueue.Taken<Work>> taken = lane.apply(mStep).take(this::plan);
        while (taken.isPresent()) {
            store.accept(mStep, taken.get().remaining());
            carryOut(taken.get().value(), mPlan);
            taken = lane.apply(mStep).take(this::plan);
        }
    }

    private boolean plan(Work work) {
        mPlan =
                work.transaction().isPresent()
                        ? planTransaction(work)
                        : mStep.takesWork() ? planSession(work) : null;
        return mPlan != null;
    }

    private boolean hasToken(Work work) {
        return !work.needsToken() || mStep.allowance(work.workspace()).available(mStep.mNow) > 0;
    }

    private Plan planTransaction(Work work) {
        Optional<TransactionTable.Open> open =
                work.transaction().flatMap(mStep.mTransactions::find);
        if (open.isEmpty()) {
            return new Plan.Refuse(
                    Failure.notRun(ErrorCode.TRANSACTION_LOST, "the transaction was rolled back"));
        }
        EndpointId endpoint = mStep.mConnections.get(open.get().connection());
        boolean startable =
                hasToken(work)
                        && open.get().term() == mStep.mView.finishableTerm(mStep.mNow)
                        && mStep.pool(endpoint).freeSlots() > 0;
        return startable ? new Plan.Start(endpoint, Role.PRIMARY, "transaction", null) : null;
    }

    /** Checks what the session has seen before a new request is routed. */
    private Plan planSession(Work work) {
        SessionMark mark = work.request().mark();
        if (mStep.mHistory.lost(mark.lastWrite())) {
            return new Plan.Refuse(
                    Failure.notRun(
                            ErrorCode.SESSION_LOST,
                            "a failover discarded the write at " + mark.lastWrite()));
        }
        if (mark.required().term() > mStep.mHistory.term()) {
            return new Plan.Later(mStep.mNow + GroupStep.RETRY_NANOS, false);
        }
        boolean replica = work.read() && !work.primaryOnly();
        return hasToken(work) ? (replica ? planReplica(work) : planPrimary(work)) : null;
    }

    private Plan planPrimary(Work work) {
        Optional<EndpointId> primary = mStep.usablePrimary();
        if (primary.isEmpty()) {
            return null;
        }
        boolean begin = work.operation() instanceof GroupOperation.Begin;
        if (begin && !mStep.pool(primary.get()).mayBegin()) {
            return null;
        }
        String reason = work.read() ? "read at the primary" : begin ? "begin" : "write";
        return startable(primary.get())
                ? new Plan.Start(primary.get(), Role.PRIMARY, reason, null)
                : null;
    }

    private Plan planReplica(Work work) {
        Statement statement = work.statement().orElseThrow();
        RoutingPolicy policy =
                mStep.mPolicies.routing().choose(statement, work.request().hasToken(), mStep.mView);
        mReplicas = mReplicas == null ? mStep.replicas() : mReplicas;
        Route route = policy.route(query(mStep, work, mReplicas));
        if (route instanceof Route.ToReplica replica) {
            return startable(replica.endpoint())
                    ? new Plan.Start(replica.endpoint(), Role.REPLICA, route.reason(), policy)
                    : null;
        }
        return route instanceof Route.Wait wait
                ? new Plan.Later(wait.untilNanos(), true)
                : new Plan.UsePrimary();
    }

    static RoutingPolicy.Query query(GroupStep step, Work work, List<CopyView> replicas) {
        SessionMark mark = work.request().mark();
        LogPosition read =
                step.mHistory.carries(mark.lastRead()) ? mark.lastRead() : LogPosition.ZERO;
        long routed = work.routedNanos() == Long.MIN_VALUE ? step.mNow : work.routedNanos();
        return new RoutingPolicy.Query(
                replicas, step.mHistory, mark.lastWrite().max(read), routed, step.mNow);
    }

    private boolean startable(EndpointId endpoint) {
        ConnectionPool pool = mStep.pool(endpoint);
        if (pool.freeSlots() <= 0) {
            return false;
        }
        if (!pool.hasIdle()) {
            mWanted.add(endpoint);
            return false;
        }
        return true;
    }

    private void carryOut(Work work, Plan plan) {
        if (plan instanceof Plan.Refuse refuse) {
            mStep.fail(work, refuse.failure());
        } else if (plan instanceof Plan.UsePrimary) {
            mStep.enqueue(work.withPrimaryOnly(), false);
        } else if (plan instanceof Plan.Later later) {
            Work routed = work.routedNanos() == Long.MIN_VALUE ? work.withRouted(mStep.mNow) : work;
            mStep.delay(routed, later.untilNanos(), later.replica());
        } else if (plan instanceof Plan.Start start) {
            start(pay(work), start);
        }
    }

    private Work pay(Work work) {
        if (work.needsToken()) {
            mStep.mAllowances =
                    mStep.mAllowances.with(
                            work.workspace(),
                            mStep.allowance(work.workspace()).spend(mStep.mNow).orElseThrow());
        }
        return work.withPaid();
    }

    private void start(Work work, Plan.Start start) {
        ConnectionPool pool = mStep.pool(start.endpoint());
        Optional<TransactionTable.Open> open =
                work.transaction().flatMap(mStep.mTransactions::find);
        long connection =
                open.map(TransactionTable.Open::connection)
                        .orElseGet(() -> pool.idle().orElseThrow());
        boolean pinned = open.isPresent() || work.operation() instanceof GroupOperation.Begin;
        mStep.mPools =
                mStep.mPools.with(
                        start.endpoint(),
                        pinned ? pool.withPinnedRunning(connection) : pool.withRunning(connection));
        long term = open.map(TransactionTable.Open::term).orElse(mStep.mHistory.term());
        long timeout = timeoutMillis(work, start.role());
        long command = mStep.mNextNumber++;
        mStep.mRunning =
                mStep.mRunning.with(
                        connection,
                        new Running(
                                connection,
                                command,
                                start.endpoint(),
                                start.role(),
                                term,
                                work,
                                start.routing(),
                                mStep.mNow + (timeout + 1_000) * 1_000_000));
        mStep.mActions.add(
                new GroupAction.LogRoute(
                        work.origin(),
                        work.request().id(),
                        work.workspace(),
                        start.endpoint(),
                        start.reason()));
        mStep.mActions.add(
                new GroupAction.SendCommand(connection, command, command(work, term), timeout));
        if (start.role() == Role.REPLICA) {
            mReplicas = null;
        }
    }

    private long timeoutMillis(Work work, Role role) {
        long left = Math.max(1, (work.deadlineNanos() - mStep.mNow) / 1_000_000);
        return role == Role.REPLICA ? Math.min(left, REPLICA_TIMEOUT_MILLIS) : left;
    }

    private static DatabaseCommand command(Work work, long term) {
        GroupOperation operation = work.operation();
        if (operation instanceof GroupOperation.Begin) {
            return new DatabaseCommand.Begin(term);
        }
        if (operation instanceof GroupOperation.Commit) {
            return new DatabaseCommand.Commit(term);
        }
        if (operation instanceof GroupOperation.Rollback) {
            return new DatabaseCommand.Rollback();
        }
        Statement statement = work.statement().orElseThrow();
        boolean once =
                operation instanceof GroupOperation.Execute
                        && statement.access() == Access.WRITE
                        && statement.requestId().isPresent();
        return once
                ? new DatabaseCommand.RunOnce(term, work.workspace(), statement)
                : new DatabaseCommand.Run(term, statement);
    }

    /** Opens as many connections as waiting work can use at once. */
    private void openWanted() {
        for (EndpointId endpoint : mWanted.stream().distinct().toList()) {
            Long backoff = mStep.mBackoff.get(endpoint);
            if (backoff != null && backoff > mStep.mNow) {
                continue;
            }
            int waiting = mStep.mPrimaryLane.size() + mStep.mReplicaLane.size();
            ConnectionPool pool = mStep.pool(endpoint);
            while (pool.mayOpen() && pool.opening() < Math.min(waiting, pool.freeSlots())) {
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
