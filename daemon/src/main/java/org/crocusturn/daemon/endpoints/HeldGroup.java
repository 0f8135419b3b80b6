package org.crocusturn.daemon.endpoints;

import java.time.Duration;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.ErrorCode;
import org.crocusturn.core.Failure;
import org.crocusturn.core.GroupId;
import org.crocusturn.core.HostId;
import org.crocusturn.core.LogPosition;
import org.crocusturn.core.callers.SessionOutcome;
import org.crocusturn.core.callers.StatementKind;
import org.crocusturn.core.callers.TransactionStep;
import org.crocusturn.core.endpoints.ConnectionLoss;
import org.crocusturn.core.endpoints.EndpointError;
import org.crocusturn.core.endpoints.PositionHistory;
import org.crocusturn.core.endpoints.SessionResult;
import org.crocusturn.core.endpoints.StatementReaction;
import org.crocusturn.core.entryhosts.SessionCall;

/**
 * Queues, routes and runs the statements of one group while this host holds its lease.
 *
 * <p>An instance serves a single lease epoch. Not thread-safe: used only by the thread of {@link
 * SessionGroupsDuty}.
 */
final class HeldGroup {
    /** Queue limit for each slot; at 20 ms per statement a full queue drains in about 0.5 s. */
    private static final int WAITING_PER_SLOT = 25;

    /** Attempts for one call. Only reads and statements that have not run are retried. */
    private static final int MAX_ATTEMPTS = 8;

    /** Delay before a statement is retried after an overload error. */
    private static final long OVERLOAD_PAUSE_NANOS = Duration.ofMillis(8).toNanos();

    /** Timeout for opening a connection; a handshake takes 12 to 30 ms. */
    private static final Duration OPEN_TIMEOUT = Duration.ofMillis(600);

    /** Time that open transactions get to finish before the lease moves to another host. */
    private static final long FINISH_NANOS = Duration.ofMillis(400).toNanos();

    private final GroupId mId;
    private final long mEpoch;
    private final GroupPorts mPorts;
    private final CopySet mCopies = new CopySet();
    private final OpenTransactions mTransactions;
    private final Set<StatementRun> mRunning = new HashSet<>();
    private final StatementQueues mQueues = new StatementQueues();
    private final PrimaryKeeper mKeeper;
    private final CopyRouting mRouting;
    private final LeaseWatch mLease;
    private GroupSettings mSettings;
    private Optional<PositionHistory> mHistory = Optional.empty();
    private Optional<Long> mMovingSinceNanos = Optional.empty();
    private boolean mReleased;

    HeldGroup(GroupId id, long epoch, GroupSettings settings, GroupPorts ports) {
        mId = id;
        mEpoch = epoch;
        mPorts = ports;
        mSettings = settings;
        mLease = LeaseWatch.startingAt(ports.nowNanos());
        mKeeper = new PrimaryKeeper(this, ports);
        mRouting = new CopyRouting(this, ports);
        mTransactions = new OpenTransactions(this, ports);
        update(settings);
    }

    GroupId id() {
        return mId;
    }

    long epoch() {
        return mEpoch;
    }

    int copies() {
        return mCopies.size();
    }

    Collection<CopyPool> pools() {
        return mCopies.values();
    }

    Optional<CopyPool> pool(EndpointId endpoint) {
        return mCopies.find(endpoint);
    }

    PrimaryKeeper keeper() {
        return mKeeper;
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
        return mPorts.leaseValid(mId) && !mReleased;
    }

    boolean isReleased() {
        return mReleased;
    }

    /** Returns the number of queued and running calls and of open transactions. */
    int busy() {
        return mQueues.size() + mRunning.size() + mTransactions.size();
    }

    /** Returns the queued calls, including those that already hold a rate token. */
    List<StatementRun> waiting() {
        return mQueues.all();
    }

    /** Applies the endpoints and settings of the latest control view. */
    void update(GroupSettings settings) {
        mSettings = settings;
        mCopies.update(settings).forEach(this::removed);
    }

    private void removed(CopyPool pool) {
        mKeeper.removed(pool);
        List.copyOf(pool.sessions()).forEach(s -> loseSession(s, ConnectionLoss.CLOSED));
    }

    /** Closes a connection and reports it to its task as lost. */
    private void loseSession(PooledSession session, ConnectionLoss loss) {
        Optional<SessionTask> task = session.task();
        mPorts.close(session);
        task.ifPresent(t -> t.lost(session, loss, "the pool closed the connection"));
    }

    /** Accepts a call from an entry host: continues its transaction, queues it or refuses it. */
    void arrive(HostId origin, SessionCall call) {
        long now = mPorts.nowNanos();
        StatementRun run = new StatementRun(this, origin, call, now);
        if (call.step() == TransactionStep.CONTINUE) {
            resume(run, now);
        } else if (mMovingSinceNanos.isPresent()) {
            refuse(run, ErrorCode.MOVED, "the lease moves to another host");
        } else if (mQueues.size() >= waitingLimit()) {
            refuse(run, ErrorCode.OVERLOADED, "the queue of the group is full");
        } else {
            run.setTokenLeft(mPorts.hasToken(call.workspace()));
            mQueues.add(run, false);
            dispatch();
        }
    }

    private int waitingLimit() {
        return WAITING_PER_SLOT * Math.max(1, mCopies.slots());
    }

    private void resume(StatementRun run, long now) {
        Optional<OpenTransaction> open =
                mTransactions.find(run.origin(), run.call().session()).filter(t -> t.isFree());
        if (open.isEmpty()) {
            fail(
                    run,
                    Failure.notRun(ErrorCode.TRANSACTION_LOST, "the transaction is not open"),
                    run.call().statement().kind() != StatementKind.COMMIT);
            return;
        }
        OpenTransaction transaction = open.get();
        transaction.setRun(Optional.of(run), now);
        transaction.sending(run.call());
        mRunning.add(run);
        transaction.session().assign(run, now);
        run.start(transaction);
    }

    /** Rolls back the transaction of a session that ended or abandoned it. */
    void end(HostId origin, long session) {
        mTransactions.find(origin, session).ifPresent(mTransactions::abandon);
    }

    /** Rolls back all transactions of an entry host after its link was lost. */
    void originLost(HostId origin) {
        mTransactions.abandonAll(t -> t.key().origin().equals(origin));
    }

    /** Starts queued calls until none can start. */
    void dispatch() {
        if (!leaseValid()) {
            return;
        }
        Optional<StatementRun> next = mQueues.take(this::place);
        while (next.isPresent()) {
            start(next.get());
            next = mQueues.take(this::place);
        }
    }

    /** Assigns a call to a copy that can start it now; returns false if there is none. */
    private boolean place(StatementRun run) {
        boolean allowed =
                run.isDue(mPorts.nowNanos())
                        && (run.isPaid() || mPorts.hasToken(run.call().workspace()));
        Optional<CopyPool> target = allowed ? mRouting.target(run) : Optional.empty();
        target.ifPresent(run::setCopy);
        return target.isPresent();
    }

    /** Returns whether a copy accepts new statements. */
    boolean isServing(CopyPool pool) {
        return mRouting.isServing(pool);
    }

    /** Returns the log position that a copy must have applied to serve the reads of a call. */
    LogPosition neededBy(SessionCall call) {
        return mRouting.neededBy(call);
    }

    private void start(StatementRun run) {
        CopyPool pool = run.copy();
        if (!run.isPaid()) {
            mPorts.takeToken(run.call().workspace());
            mPorts.waited(mPorts.nowNanos() - run.arrivedNanos());
            run.setPaid();
        }
        mRunning.add(run);
        PooledSession session =
                pool.idle(run.call().workspace(), run.call().values())
                        .orElseGet(() -> connect(pool, run));
        session.assign(run, mPorts.nowNanos());
        run.start(session);
    }

    private PooledSession connect(CopyPool pool, StatementRun run) {
        if (!pool.hasRoom()) {
            pool.oldestIdle().ifPresent(mPorts::close);
        }
        return mPorts.open(pool, run.call().workspace(), OPEN_TIMEOUT, run);
    }

    /** Registers a transaction that has begun. */
    OpenTransaction begun(StatementRun run) {
        OpenTransaction transaction = new OpenTransaction(run, mPorts.nowNanos());
        transaction.sending(run.call());
        mTransactions.add(transaction);
        return transaction;
    }

    /** Handles the result of a statement. */
    void answered(StatementRun run, SessionResult result) {
        observe(run.copy(), result);
        if (result.error().isEmpty()) {
            done(run, result);
            return;
        }
        EndpointError error = result.error().get();
        if (error == EndpointError.READ_ONLY) {
            mKeeper.rediscover("a write was refused by " + run.copy().record().id());
        }
        react(run, StatementReaction.to(run.nature(), result.error(), result.state()), result);
    }

    private void observe(CopyPool pool, SessionResult result) {
        long now = mPorts.nowNanos();
        result.position()
                .ifPresent(told -> mHistory.ifPresent(history -> pool.told(told, history, now)));
    }

    private void react(StatementRun run, StatementReaction reaction, SessionResult result) {
        if (reaction instanceof StatementReaction.RetryHere && mayRetry(run)) {
            run.rest(mPorts.nowNanos() + OVERLOAD_PAUSE_NANOS);
            return;
        }
        settle(run, result.state());
        if (reaction instanceof StatementReaction.RetryElsewhere && mayRetry(run)) {
            retry(run, result);
        } else if (reaction instanceof StatementReaction.Fail fail) {
            fail(run, fail.failure(), fail.transactionFailed());
        } else {
            fail(
                    run,
                    StatementFailures.exhausted(run.nature(), result.error()),
                    run.transaction().isPresent());
        }
    }

    private boolean mayRetry(StatementRun run) {
        return run.attempts() < MAX_ATTEMPTS
                && run.deadlineNanos() - mPorts.nowNanos() > 0
                && run.stage() != StatementRun.Stage.ENDED;
    }

    private void retry(StatementRun run, SessionResult result) {
        if (result.error().filter(e -> e == EndpointError.LAGGING).isPresent()) {
            long now = mPorts.nowNanos();
            mHistory.ifPresent(history -> run.copy().lacks(run.needed(), history, now));
        }
        boolean overloaded = result.error().filter(e -> e == EndpointError.OVERLOADED).isPresent();
        requeue(run, overloaded ? OVERLOAD_PAUSE_NANOS : 0);
    }

    private void requeue(StatementRun run, long pauseNanos) {
        long now = mPorts.nowNanos();
        run.backToQueue(now + pauseNanos, true);
        if (mMovingSinceNanos.isPresent()) {
            refuse(run, ErrorCode.MOVED, "the lease moves to another host");
        } else if (now - run.waitUntilNanos() >= 0 && run.attempts() > 2) {
            refuse(run, ErrorCode.OVERLOADED, "no copy could run the statement in time");
        } else {
            mQueues.add(run, true);
            dispatch();
        }
    }

    /** Detaches a run from its connection, which is rolled back first unless it is idle. */
    private void settle(StatementRun run, SessionResult.State state) {
        PooledSession session = run.session();
        stopRunning(run);
        run.transaction().ifPresent(mTransactions::remove);
        if (state == SessionResult.State.IDLE) {
            idle(session);
        } else {
            RollbackTask task = new RollbackTask(this);
            session.assign(task, mPorts.nowNanos());
            task.start(session);
        }
    }

    /** Releases the slot that a run occupies on its copy. */
    private void stopRunning(StatementRun run) {
        if (mRunning.remove(run)) {
            run.copy().finished();
        }
    }

    private void done(StatementRun run, SessionResult result) {
        boolean staysOpen =
                run.transaction().isPresent()
                        && run.call().statement().kind() != StatementKind.COMMIT;
        SessionResult.State expected =
                staysOpen ? SessionResult.State.TRANSACTION : SessionResult.State.IDLE;
        if (result.state() != expected) {
            lost(run, ConnectionLoss.CLOSED);
            return;
        }
        SessionOutcome outcome =
                staysOpen
                        ? SessionOutcome.answered(result.rows(), result.signature())
                        : ended(run, result);
        run.end();
        mPorts.reply(run.origin(), run.call().id(), outcome);
        if (staysOpen) {
            stayOpen(run);
        } else {
            settle(run, result.state());
        }
        dispatch();
    }

    private void stayOpen(StatementRun run) {
        stopRunning(run);
        OpenTransaction transaction = run.transaction().orElseThrow();
        transaction.setRun(Optional.empty(), mPorts.nowNanos());
        if (transaction.isAbandoned()) {
            mTransactions.rollback(transaction);
        }
    }

    /** Returns the outcome of a commit or of a statement outside a transaction. */
    private SessionOutcome ended(StatementRun run, SessionResult result) {
        boolean wrote =
                run.nature() == StatementReaction.Nature.WRITE
                        || run.nature() == StatementReaction.Nature.COMMIT;
        if (!wrote) {
            return SessionOutcome.answered(result.rows(), result.signature());
        }
        // The next leaseholder may already serve reads without this commit, so it must not be
        // acknowledged.
        if (!leaseValid() || result.position().isEmpty()) {
            return SessionOutcome.failed(
                    Failure.mayHaveRun("the lease ended before the commit was acknowledged"),
                    false);
        }
        LogPosition position = result.position().get();
        mHistory = mHistory.map(h -> h.with(position, mPorts.nowNanos()));
        return SessionOutcome.committed(result.rows(), result.signature(), position);
    }

    /** Handles the loss of a run's connection: retries the statement or fails the call. */
    void lost(StatementRun run, ConnectionLoss loss) {
        CopyPool pool = run.copy();
        mPorts.log(run + " lost its connection to " + pool.record().id() + ": " + loss);
        stopRunning(run);
        mPorts.close(run.session());
        run.transaction().ifPresent(mTransactions::remove);
        if (loss != ConnectionLoss.LIMIT) {
            doubt(pool);
        }
        if (run.stage() == StatementRun.Stage.ENDED) {
            return;
        }
        boolean sent = run.stage() == StatementRun.Stage.RUNNING;
        StatementReaction reaction =
                sent || run.call().step() == TransactionStep.CONTINUE
                        ? StatementReaction.to(
                                run.nature(), notSent(sent), SessionResult.State.IDLE)
                        : new StatementReaction.RetryElsewhere();
        if (reaction instanceof StatementReaction.Fail fail) {
            fail(run, fail.failure(), fail.transactionFailed());
        } else if (mayRetry(run)) {
            requeue(run, loss == ConnectionLoss.LIMIT ? OVERLOAD_PAUSE_NANOS : 0);
        } else {
            fail(
                    run,
                    StatementFailures.exhausted(run.nature(), notSent(sent)),
                    run.call().step() != TransactionStep.NONE);
        }
    }

    private static Optional<EndpointError> notSent(boolean sent) {
        return sent ? Optional.empty() : Optional.of(EndpointError.READ_ONLY);
    }

    /** Ends a run whose statement must not be sent. */
    void notRun(StatementRun run, String reason) {
        mPorts.log(run + " is not sent: " + reason);
        boolean begun = run.transaction().isPresent();
        settle(run, begun ? SessionResult.State.TRANSACTION : SessionResult.State.IDLE);
        if (run.call().step() == TransactionStep.CONTINUE) {
            fail(
                    run,
                    Failure.notRun(ErrorCode.TRANSACTION_LOST, reason),
                    run.call().statement().kind() != StatementKind.COMMIT);
        } else {
            refuse(run, ErrorCode.MOVED, reason);
        }
    }

    /** Ends a run whose session values or prepared statement could not be set up. */
    void notAligned(StatementRun run, String text) {
        mPorts.log("a connection of " + mId + " could not be set up: " + text);
        lost(run, ConnectionLoss.CLOSED);
    }

    /** Handles a failure to begin a transaction. */
    void notBegun(StatementRun run, SessionResult result) {
        observe(run.copy(), result);
        if (result.error().filter(e -> e == EndpointError.READ_ONLY).isPresent()) {
            mKeeper.rediscover(
                    "the begin of a transaction was refused by " + run.copy().record().id());
        }
        settle(run, result.state());
        if (mayRetry(run)) {
            retry(run, result);
        } else {
            fail(run, StatementFailures.exhausted(run.nature(), result.error()), true);
        }
    }

    /** Returns a connection to the pool. */
    void idle(PooledSession session) {
        session.release();
        dispatch();
    }

    /** Closes a connection that cannot be used again. */
    void discard(PooledSession session) {
        mPorts.close(session);
    }

    /** Closes a connection that sent a result for which no command was outstanding. */
    void unexpected(PooledSession session) {
        loseSession(session, ConnectionLoss.CLOSED);
    }

    /** Requests the status of a copy after an error. */
    void doubt(CopyPool pool) {
        mKeeper.doubt(pool);
    }

    private void refuse(StatementRun run, ErrorCode code, String message) {
        Failure failure =
                Failure.notRun(code, message).withRetryAfter(StatementFailures.RETRY_AFTER);
        fail(run, failure, run.call().step() != TransactionStep.NONE);
    }

    private void fail(StatementRun run, Failure failure, boolean transactionFailed) {
        run.end();
        mPorts.log(run + " fails: " + failure.code() + " " + failure.message());
        mPorts.reply(
                run.origin(), run.call().id(), SessionOutcome.failed(failure, transactionFailed));
    }

    /** Enforces time limits and advances the state of the primary. */
    void tick(long now) {
        checkLease(now);
        mQueues.expire(now).forEach(this::expire);
        List.copyOf(mRunning).stream()
                .filter(run -> now - run.deadlineNanos() >= 0)
                .forEach(this::timeOut);
        List.copyOf(mRunning).stream()
                .filter(run -> run.isResting() && run.isDue(now))
                .forEach(StatementRun::again);
        long idleNanos = mSettings.idleTransaction().toNanos();
        mTransactions.abandonAll(t -> t.run().isEmpty() && now - t.usedNanos() >= idleNanos);
        mKeeper.tick(now);
        mMovingSinceNanos.ifPresent(since -> move(since, now));
        dispatch();
    }

    private void checkLease(long now) {
        LeaseWatch.Change change = mLease.observe(leaseValid(), now);
        if (change == LeaseWatch.Change.RENEWED) {
            mKeeper.rediscover("the lease is valid again");
        } else if (change == LeaseWatch.Change.ENDED && !mReleased) {
            mPorts.note(
                    "group " + mId + " epoch " + mEpoch + " closes its connections: lease ended");
            closeConnections();
            refuseWaiting("the lease has ended");
        }
    }

    private void refuseWaiting(String reason) {
        mQueues.all().forEach(run -> refuse(run, ErrorCode.MOVED, reason));
        mQueues.clear();
    }

    private void closeConnections() {
        mCopies.values()
                .forEach(
                        pool ->
                                List.copyOf(pool.sessions())
                                        .forEach(s -> loseSession(s, ConnectionLoss.CLOSED)));
    }

    private void expire(StatementRun run) {
        boolean limited = !run.isPaid() && !mPorts.hasToken(run.call().workspace());
        refuse(
                run,
                limited ? ErrorCode.RATE_LIMITED : ErrorCode.OVERLOADED,
                limited ? "the workspace is over its rate" : "no slot became free in time");
    }

    private void timeOut(StatementRun run) {
        boolean sent = run.stage() == StatementRun.Stage.RUNNING;
        stopRunning(run);
        run.transaction().ifPresent(mTransactions::remove);
        mPorts.close(run.session());
        doubt(run.copy());
        fail(run, StatementFailures.late(sent), run.call().step() != TransactionStep.NONE);
    }

    /** Stops accepting new calls so that the lease can move to another host. */
    void beginMove() {
        if (mMovingSinceNanos.isEmpty()) {
            mMovingSinceNanos = Optional.of(mPorts.nowNanos());
            refuseWaiting("the lease moves to another host");
        }
    }

    private void move(long since, long now) {
        if (now - since >= FINISH_NANOS) {
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
        return mTransactions.anyWriter()
                || mRunning.stream().anyMatch(r -> r.call().needsPrimary());
    }

    /** Refuses the queued calls, closes all connections and accepts no further calls. */
    void close() {
        mReleased = true;
        refuseWaiting("the lease has ended");
        closeConnections();
    }
}
