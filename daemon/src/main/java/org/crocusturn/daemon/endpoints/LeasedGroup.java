package org.crocusturn.daemon.endpoints;

import java.time.Duration;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.ErrorCode;
import org.crocusturn.core.Failure;
import org.crocusturn.core.GroupId;
import org.crocusturn.core.HostId;
import org.crocusturn.core.LogPosition;
import org.crocusturn.core.callers.SessionOutcome;
import org.crocusturn.core.callers.StatementKind;
import org.crocusturn.core.callers.TransactionStep;
import org.crocusturn.core.endpoints.CallRate;
import org.crocusturn.core.endpoints.ConnectionLoss;
import org.crocusturn.core.endpoints.EndpointError;
import org.crocusturn.core.endpoints.PositionHistory;
import org.crocusturn.core.endpoints.RetryDecision;
import org.crocusturn.core.endpoints.SessionResult;
import org.crocusturn.core.entryhosts.SessionCall;

/**
 * Queues, routes and runs the statements of one group while this host holds its lease.
 *
 * <p>An instance serves a single lease epoch. Not thread-safe: used only by the thread of {@link
 * SessionGroupsDuty}.
 */
final class LeasedGroup {
    /** Delay before a statement is retried after an overload error. */
    static final long OVERLOAD_BACKOFF_NANOS = Duration.ofMillis(8).toNanos();

    /** Time that open transactions get to finish before the lease moves to another host. */
    private static final long TRANSACTION_GRACE_NANOS = Duration.ofMillis(400).toNanos();

    private final GroupId mId;
    private final long mEpoch;
    private final GroupContext mContext;
    private final CopySet mCopies = new CopySet();
    private final OpenTransactions mTransactions;
    private final Set<StatementRun> mRunning = new HashSet<>();
    private final ServiceTimes mTimes;
    private final ConnectionPlanner mPlanner;
    private final PooledConnections mConnections;
    private final WaitingCalls mWaiting;
    private final FailoverController mFailover;
    private final ConnectionFailures mFailures;
    private final CopyRouting mRouting;
    private final LeaseExpiryMonitor mLeaseMonitor;
    private GroupSettings mSettings;
    private Optional<PositionHistory> mHistory = Optional.empty();
    private Optional<Long> mMoveStartNanos = Optional.empty();
    private CallRate mCallRate = CallRate.NONE;
    private boolean mReleased;

    LeasedGroup(GroupId id, long epoch, GroupSettings settings, GroupContext context) {
        mId = id;
        mEpoch = epoch;
        mContext = context;
        mSettings = settings;
        mLeaseMonitor = LeaseExpiryMonitor.startingAt(context.nowNanos());
        mFailover = new FailoverController(this, context);
        mFailures = new ConnectionFailures(this, context);
        mTimes = new ServiceTimes(this);
        mPlanner = new ConnectionPlanner(this, context);
        mRouting = new CopyRouting(this, mPlanner, mTimes, context);
        mConnections = new PooledConnections(mPlanner, context);
        mWaiting = new WaitingCalls(this, mRouting, mPlanner, mTimes, context);
        mTransactions = new OpenTransactions(this, context);
        update(settings);
    }

    GroupId id() {
        return mId;
    }

    long epoch() {
        return mEpoch;
    }

    long nowNanos() {
        return mContext.nowNanos();
    }

    int copyCount() {
        return mCopies.size();
    }

    /** Returns the number of statements that all copies together can run concurrently. */
    int slots() {
        return mCopies.slots();
    }

    Collection<CopyPool> pools() {
        return mCopies.values();
    }

    Optional<CopyPool> pool(EndpointId endpoint) {
        return mCopies.find(endpoint);
    }

    ConnectionPlanner planner() {
        return mPlanner;
    }

    FailoverController failover() {
        return mFailover;
    }

    ConnectionFailures failures() {
        return mFailures;
    }

    GroupSettings settings() {
        return mSettings;
    }

    Optional<PositionHistory> history() {
        return mHistory;
    }

    void setHistory(PositionHistory history) {
        mHistory = Optional.of(history);
    }

    boolean leaseValid() {
        return mContext.leaseValid(mId) && !mReleased;
    }

    boolean isReleased() {
        return mReleased;
    }

    /** Returns the number of queued and running calls and of open transactions. */
    int activeCount() {
        return mWaiting.size() + mRunning.size() + mTransactions.size();
    }

    /** Returns the calls that have arrived recently, per second, including refused ones. */
    int callsPerSecond() {
        return mCallRate.perSecond(mContext.nowNanos());
    }

    /** Returns the queued calls, including those that already hold a rate token. */
    List<StatementRun> queued() {
        return mWaiting.all();
    }

    /** Applies the endpoints and settings of the latest control view. */
    void update(GroupSettings settings) {
        mSettings = settings;
        mCopies.update(settings).forEach(this::onCopyRemoved);
    }

    private void onCopyRemoved(CopyPool pool) {
        mFailover.onCopyRemoved(pool);
        mConnections.closeAll(List.of(pool));
    }

    /** Closes a connection and reports it to its task as lost. */
    void closeAsLost(PooledSession session, ConnectionLoss loss) {
        mConnections.closeAsLost(session, loss);
    }

    /** Accepts a call from an entry host: continues its transaction, queues it or refuses it. */
    void submit(HostId origin, SessionCall call) {
        long now = mContext.nowNanos();
        mCallRate = mCallRate.withCall(now);
        StatementRun run = new StatementRun(this, origin, call, now);
        if (call.step().begins()) {
            // The message that ended the session's previous transaction may have been lost.
            endWork(origin, call.session());
        }
        if (call.step() == TransactionStep.CONTINUE) {
            continueTransaction(run, now);
        } else if (mMoveStartNanos.isPresent()) {
            refuse(run, ErrorCode.MOVED, "the lease moves to another host");
        } else {
            if (mWaiting.add(run)) {
                dispatch();
            }
        }
    }

    private void continueTransaction(StatementRun run, long now) {
        Optional<OpenTransaction> open =
                mTransactions.find(run.origin(), run.call().session()).filter(t -> t.isReady());
        if (open.isEmpty()) {
            fail(
                    run,
                    Failure.notRun(ErrorCode.TRANSACTION_LOST, "the transaction is not open"),
                    run.call().statement().kind() != StatementKind.COMMIT);
            return;
        }
        OpenTransaction transaction = open.get();
        transaction.setRun(Optional.of(run), now);
        transaction.recordStatement(run.call());
        mRunning.add(run);
        transaction.session().assign(run, now);
        run.start(transaction);
    }

    /**
     * Rolls back the transaction of a session that ended or abandoned it, and refuses its statement
     * if it has not been sent to an endpoint. One that was sent ends first.
     */
    void endWork(HostId origin, long session) {
        endWork(new OpenTransaction.Key(origin, session)::equals);
    }

    /** Ends the work of all sessions of an entry host after its link was lost. */
    void onOriginLost(HostId origin) {
        endWork(key -> key.origin().equals(origin));
    }

    private void endWork(Predicate<OpenTransaction.Key> test) {
        Predicate<StatementRun> ended = run -> test.test(OpenTransaction.Key.of(run));
        mWaiting.remove(ended).forEach(this::refuseAbandoned);
        mRunning.stream().filter(ended).toList().forEach(this::abandon);
        mTransactions.abandonAll(transaction -> test.test(transaction.key()));
    }

    private void abandon(StatementRun run) {
        run.abandon();
        if (run.isWaiting()) {
            abortUnsent(run, StatementRun.ABANDONED);
        }
    }

    private void refuseAbandoned(StatementRun run) {
        refuse(run, ErrorCode.MOVED, StatementRun.ABANDONED);
    }

    /** Starts queued calls until none can start. */
    void dispatch() {
        if (!leaseValid()) {
            return;
        }
        Optional<StatementRun> next = mWaiting.takeNext();
        while (next.isPresent()) {
            start(next.get());
            next = mWaiting.takeNext();
        }
    }

    /** Returns whether a copy accepts new statements. */
    boolean isServing(CopyPool pool) {
        return mRouting.isServing(pool);
    }

    /** Returns the log position that a copy must have applied to serve the reads of a call. */
    LogPosition requiredPosition(SessionCall call) {
        return mRouting.requiredPosition(call);
    }

    private void start(StatementRun run) {
        mRunning.add(run);
        run.start(mConnections.acquire(run));
    }

    /** Registers a transaction that has begun. */
    OpenTransaction registerTransaction(StatementRun run) {
        OpenTransaction transaction = new OpenTransaction(run, mContext.nowNanos());
        transaction.recordStatement(run.call());
        mTransactions.add(transaction);
        return transaction;
    }

    /** Handles the result of a statement. */
    void onStatementResult(StatementRun run, SessionResult result) {
        if (result.error().isEmpty()) {
            complete(run, result);
            return;
        }
        EndpointError error = result.error().get();
        if (error == EndpointError.READ_ONLY) {
            mFailover.rediscover("a write was refused by " + run.copy().record().id());
        }
        applyRetryDecision(
                run,
                RetryDecision.decide(run.retryClass(), result.error(), result.state()),
                result);
    }

    UsageMeter usage() {
        return mContext.usage();
    }

    /** Records the log position of a copy. */
    void recordPosition(CopyPool pool, SessionResult result) {
        long now = mContext.nowNanos();
        result.position().ifPresent(p -> mHistory.ifPresent(h -> pool.recordPosition(p, h, now)));
    }

    private void applyRetryDecision(
            StatementRun run, RetryDecision decision, SessionResult result) {
        if (decision instanceof RetryDecision.RetryOnSameConnection
                && run.mayRetry(mContext.nowNanos())) {
            run.backOff(mContext.nowNanos() + OVERLOAD_BACKOFF_NANOS);
            return;
        }
        releaseConnection(run, result.state());
        if (decision instanceof RetryDecision.RetryOnAnyCopy && run.mayRetry(mContext.nowNanos())) {
            retry(run, result);
        } else if (decision instanceof RetryDecision.Fail fail) {
            fail(run, fail.failure(), fail.transactionFailed());
        } else {
            fail(
                    run,
                    StatementFailures.attemptsExhausted(run.retryClass(), result.error()),
                    run.transaction().isPresent());
        }
    }

    private void retry(StatementRun run, SessionResult result) {
        if (result.error().filter(e -> e == EndpointError.LAGGING).isPresent()) {
            long now = mContext.nowNanos();
            mHistory.ifPresent(
                    history -> run.copy().recordMissing(run.requiredPosition(), history, now));
        }
        boolean overloaded = result.error().filter(e -> e == EndpointError.OVERLOADED).isPresent();
        requeue(run, overloaded ? OVERLOAD_BACKOFF_NANOS : 0, true);
    }

    /** Queues a run for another attempt. */
    void requeue(StatementRun run, long pauseNanos, boolean excludeCopy) {
        long now = mContext.nowNanos();
        run.resetForQueue(now + pauseNanos, excludeCopy);
        if (run.isAbandoned()) {
            refuseAbandoned(run);
        } else if (mMoveStartNanos.isPresent()) {
            refuse(run, ErrorCode.MOVED, "the lease moves to another host");
        } else if (now - run.waitUntilNanos() >= 0 && run.attempts() > 2) {
            refuse(run, ErrorCode.OVERLOADED, "no copy could run the statement in time");
        } else {
            mWaiting.addFirst(run);
            dispatch();
        }
    }

    /** Detaches a run from its connection, which is rolled back first unless it is idle. */
    private void releaseConnection(StatementRun run, SessionResult.State state) {
        PooledSession session = run.session();
        stopRunning(run);
        run.transaction().ifPresent(mTransactions::remove);
        if (state == SessionResult.State.IDLE) {
            returnToPool(session);
        } else {
            RollbackTask task = new RollbackTask(this);
            session.assign(task, mContext.nowNanos());
            task.start(session);
        }
    }

    /** Closes the connection of a run, which rolls back its transaction. */
    void dropConnection(StatementRun run) {
        run.recordUnknownOutcome();
        stopRunning(run);
        mContext.close(run.session());
        run.transaction().ifPresent(mTransactions::remove);
    }

    /** Releases the slot that a run occupies on its copy. */
    private void stopRunning(StatementRun run) {
        if (mRunning.remove(run)) {
            mTimes.record(run, mContext.nowNanos());
            run.copy().statementFinished();
        }
    }

    private void complete(StatementRun run, SessionResult result) {
        boolean staysOpen =
                run.transaction().isPresent()
                        && run.call().statement().kind() != StatementKind.COMMIT;
        SessionResult.State expected =
                staysOpen ? SessionResult.State.TRANSACTION : SessionResult.State.IDLE;
        if (result.state() != expected) {
            mFailures.onUnexpectedState(run, result);
            return;
        }
        SessionOutcome outcome =
                staysOpen
                        ? SessionOutcome.answered(result.rows(), result.signature())
                        : finalOutcome(run, result);
        run.end();
        mContext.reply(run.origin(), run.call().id(), outcome);
        if (staysOpen) {
            keepTransactionOpen(run);
            dispatch();
        } else {
            releaseConnection(run, result.state());
        }
    }

    private void keepTransactionOpen(StatementRun run) {
        stopRunning(run);
        OpenTransaction transaction = run.transaction().orElseThrow();
        transaction.setRun(Optional.empty(), mContext.nowNanos());
        if (transaction.isAbandoned()) {
            mTransactions.rollback(transaction);
        }
    }

    /** Returns the outcome of a commit or of a statement outside a transaction. */
    private SessionOutcome finalOutcome(StatementRun run, SessionResult result) {
        boolean wrote =
                run.retryClass() == RetryDecision.RetryClass.WRITE
                        || run.retryClass() == RetryDecision.RetryClass.COMMIT;
        if (!wrote) {
            return SessionOutcome.answered(result.rows(), result.signature());
        }
        // The next leaseholder or the next primary may already serve reads without this commit, so
        // it must not be acknowledged.
        if (!leaseValid() || !mFailover.mayAcknowledge(run.copy()) || result.position().isEmpty()) {
            return SessionOutcome.failed(
                    Failure.mayHaveRun(
                            "the lease or the term ended before the commit was acknowledged"),
                    false);
        }
        LogPosition position = result.position().get();
        mHistory = mHistory.map(h -> h.with(position, mContext.nowNanos()));
        return SessionOutcome.committed(result.rows(), result.signature(), position);
    }

    /** Ends a run whose statement must not be sent. */
    void abortUnsent(StatementRun run, String reason) {
        mContext.logDecision(run + " is not sent: " + reason);
        boolean inTransaction = run.transaction().isPresent();
        releaseConnection(
                run, inTransaction ? SessionResult.State.TRANSACTION : SessionResult.State.IDLE);
        if (run.call().step() == TransactionStep.CONTINUE) {
            fail(
                    run,
                    Failure.notRun(ErrorCode.TRANSACTION_LOST, reason),
                    run.call().statement().kind() != StatementKind.COMMIT);
        } else {
            refuse(run, ErrorCode.MOVED, reason);
        }
    }

    /** Handles a failure to begin a transaction. */
    void onBeginFailed(StatementRun run, SessionResult result) {
        if (result.error().filter(e -> e == EndpointError.READ_ONLY).isPresent()) {
            mFailover.rediscover("BEGIN was refused by " + run.copy().record().id());
        }
        releaseConnection(run, result.state());
        if (run.mayRetry(mContext.nowNanos())) {
            retry(run, result);
        } else {
            fail(run, StatementFailures.attemptsExhausted(run.retryClass(), result.error()), true);
        }
    }

    /** Returns a connection to the pool. */
    void returnToPool(PooledSession session) {
        mConnections.release(session);
        dispatch();
    }

    /** Closes a connection that cannot be used again. */
    void discard(PooledSession session) {
        mContext.close(session);
    }

    /** Closes a connection that sent a result for which no command was outstanding. */
    void onUnexpectedResult(PooledSession session) {
        closeAsLost(session, ConnectionLoss.CLOSED);
    }

    /** Requests the status of a copy after an error. */
    void checkHealth(CopyPool pool) {
        mFailover.requestStatus(pool);
    }

    /** Ends a run that has not been sent; it may be sent again after a delay. */
    void refuse(StatementRun run, ErrorCode code, String message) {
        refuse(run, code, message, StatementFailures.RETRY_AFTER);
    }

    /** Ends a run that has not been sent; it may be sent again after the given delay. */
    void refuse(StatementRun run, ErrorCode code, String message, Duration retryAfter) {
        Failure failure = Failure.notRun(code, message).withRetryAfter(retryAfter);
        fail(run, failure, run.call().step() != TransactionStep.NONE);
    }

    /** Ends a run with a failure. */
    void fail(StatementRun run, Failure failure, boolean transactionFailed) {
        run.end();
        mContext.logDecision(run + " fails: " + failure.code() + " " + failure.message());
        mContext.reply(
                run.origin(), run.call().id(), SessionOutcome.failed(failure, transactionFailed));
    }

    /** Enforces time limits and advances the state of the primary. */
    void tick(long now) {
        checkLease(now);
        mWaiting.expire(now);
        List.copyOf(mRunning).stream()
                .filter(run -> now - run.deadlineNanos() >= 0)
                .forEach(mFailures::timeOut);
        List.copyOf(mRunning).stream()
                .filter(run -> run.isAnswerOverdue(now))
                .forEach(mFailures::onAnswerOverdue);
        List.copyOf(mRunning).stream()
                .filter(run -> run.isBackingOff() && run.isDue(now))
                .forEach(StatementRun::retryOnSameConnection);
        long idleNanos = mSettings.idleTransaction().toNanos();
        mTransactions.abandonAll(t -> t.run().isEmpty() && now - t.lastUsedNanos() >= idleNanos);
        mFailures.closeUnansweredRollbacks(now);
        mFailover.tick(now);
        updatePlan(now);
        mMoveStartNanos.ifPresent(since -> continueMove(since, now));
        dispatch();
    }

    /** Plans the connections and opens those to copies whose part in the plan has changed. */
    private void updatePlan(long now) {
        List<CopyPool> changed = mPlanner.update(now);
        if (leaseValid()) {
            changed.forEach(pool -> new ConnectionWarmUp(this, pool, mContext).start());
        }
    }

    private void checkLease(long now) {
        LeaseExpiryMonitor.Change change = mLeaseMonitor.observe(leaseValid(), now);
        if (change == LeaseExpiryMonitor.Change.RENEWED) {
            mFailover.rediscover("the lease is valid again");
        } else if (change == LeaseExpiryMonitor.Change.ENDED && !mReleased) {
            mContext.logEvent(
                    "group " + mId + " epoch " + mEpoch + " closes its connections: lease ended");
            mConnections.closeAll(mCopies.values());
            mWaiting.refuseAll("the lease has ended");
        }
    }

    /** Stops accepting new calls so that the lease can move to another host. */
    void beginMove() {
        if (mMoveStartNanos.isEmpty()) {
            mMoveStartNanos = Optional.of(mContext.nowNanos());
            mWaiting.refuseAll("the lease moves to another host");
        }
    }

    private void continueMove(long since, long now) {
        if (now - since >= TRANSACTION_GRACE_NANOS) {
            mTransactions.abandonAll(t -> t.run().isEmpty());
        }
        if (mRunning.isEmpty() && mTransactions.isEmpty()) {
            close();
        }
    }

    /** Rolls back the read-write transactions that have no running statement. */
    void abandonIdleWriters() {
        mTransactions.abandonAll(t -> t.run().isEmpty() && !t.isReadOnly());
    }

    /** Returns whether a read-write transaction is open or a statement runs on the primary. */
    boolean isWriting() {
        return mTransactions.hasReadWrite()
                || mRunning.stream().anyMatch(r -> r.call().needsPrimary());
    }

    /** Refuses the queued calls, closes all connections and accepts no further calls. */
    void close() {
        mReleased = true;
        mWaiting.refuseAll("the lease has ended");
        mConnections.closeAll(mCopies.values());
    }
}
