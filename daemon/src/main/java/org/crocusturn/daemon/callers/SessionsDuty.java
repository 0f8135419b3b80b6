package org.crocusturn.daemon.callers;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.function.ObjIntConsumer;
import java.util.function.Predicate;
import org.crocusturn.core.ErrorCode;
import org.crocusturn.core.Failure;
import org.crocusturn.core.GroupId;
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.callers.KeyWithdrawal;
import org.crocusturn.core.callers.PreparedShape;
import org.crocusturn.core.callers.RouteAccess;
import org.crocusturn.core.callers.RouteCheck;
import org.crocusturn.core.callers.SessionDecisions;
import org.crocusturn.core.callers.SessionOutcome;
import org.crocusturn.core.callers.SessionState;
import org.crocusturn.core.callers.SessionStatement;
import org.crocusturn.core.callers.SessionStep;
import org.crocusturn.core.callers.StatementKind;
import org.crocusturn.core.callers.TransactionStep;
import org.crocusturn.core.callers.WithdrawnKeys;
import org.crocusturn.core.controlhosts.ControlView;
import org.crocusturn.core.entryhosts.SessionCall;
import org.crocusturn.core.entryhosts.SessionEnd;
import org.crocusturn.core.operators.ControlState;
import org.crocusturn.core.operators.Route;
import org.crocusturn.core.operators.Service;
import org.crocusturn.core.platform.Phase;
import org.crocusturn.core.ring.DutyHandler;
import org.crocusturn.core.ring.SteadyClock;
import org.crocusturn.daemon.platform.Metrics;

/** Manages the caller sessions of this entry host and sends their statements to leaseholders. */
public final class SessionsDuty implements DutyHandler<SessionEvent> {
    /** Maximum queued statements of a session; a session that exceeds it is closed. */
    private static final int MAX_QUEUED_STATEMENTS = 64;

    /** Maximum sessions of an entry host; further ones are refused to bound the memory. */
    private static final int MAX_SESSIONS = 3_000;

    private static final long TICK_NANOS = OpenCalls.RUN_INTERVAL_NANOS;

    private static final Failure STOPPED_CALL =
            Failure.mayHaveRun("this host stopped while the statement ran");

    private static final long IDLE_TICK_NANOS = Duration.ofMillis(500).toNanos();

    /** Maximum time for which a new session waits for the first configuration. */
    private static final long HOLD_TIMEOUT_NANOS = Duration.ofMillis(400).toNanos();

    private final SessionDispatcher mDispatcher;
    private final ObjIntConsumer<Phase> mSessionCountListener;
    private final BooleanSupplier mCurrentState;
    private final Duration mTransactionLimit;
    private final Metrics mMetrics;
    private final LongSupplier mClock;
    private final SessionLog mLog = new SessionLog();
    private final Map<Long, CallerSession> mSessions = new HashMap<>();
    private final OpenCalls mCalls;
    private final Map<Long, PendingOpen> mPendingOpens = new LinkedHashMap<>();
    private ControlView mView;
    private WithdrawnKeys mWithdrawnKeys = WithdrawnKeys.EMPTY;
    private Phase mPhase = Phase.STARTING;
    private long mLeavingSinceNanos;
    private long mNextTickNanos;

    private SessionsDuty(
            ControlView view,
            SessionDispatcher dispatcher,
            ObjIntConsumer<Phase> sessionCountListener,
            BooleanSupplier currentState,
            Duration transactionLimit,
            Metrics metrics,
            LongSupplier clock) {
        mClock = clock;
        mCurrentState = currentState;
        mTransactionLimit = transactionLimit;
        mMetrics = metrics;
        mView = view;
        mDispatcher = dispatcher;
        mCalls = new OpenCalls(dispatcher, new CallOwner(), clock);
        mSessionCountListener = sessionCountListener;
    }

    /** Request to open a session that arrived before the first configuration. */
    private record PendingOpen(SessionEvent.OpenRequested request, long holdUntilNanos) {}

    /**
     * Creates the handler.
     *
     * @param view initial view, without any replicated state
     * @param dispatcher sends calls to leaseholders
     * @param sessionCountListener receives the number of sessions while the process drains
     * @param currentState returns whether the replicated state of this host is current
     * @param transactionLimit time that open transactions get to end at a planned stop
     * @param metrics metrics of the process
     */
    public static SessionsDuty create(
            ControlView view,
            SessionDispatcher dispatcher,
            ObjIntConsumer<Phase> sessionCountListener,
            BooleanSupplier currentState,
            Duration transactionLimit,
            Metrics metrics) {
        return create(
                view,
                dispatcher,
                sessionCountListener,
                currentState,
                transactionLimit,
                metrics,
                SteadyClock::nanoTime);
    }

    /** Creates the handler with another clock, which returns monotonic nanoseconds. */
    static SessionsDuty create(
            ControlView view,
            SessionDispatcher dispatcher,
            ObjIntConsumer<Phase> sessionCountListener,
            BooleanSupplier currentState,
            Duration transactionLimit,
            Metrics metrics,
            LongSupplier clock) {
        return new SessionsDuty(
                Objects.requireNonNull(view, "view"),
                Objects.requireNonNull(dispatcher, "dispatcher"),
                Objects.requireNonNull(sessionCountListener, "sessionCountListener"),
                Objects.requireNonNull(currentState, "currentState"),
                Objects.requireNonNull(transactionLimit, "transactionLimit"),
                Objects.requireNonNull(metrics, "metrics"),
                Objects.requireNonNull(clock, "clock"));
    }

    @Override
    public void onEvent(SessionEvent event) {
        if (event instanceof SessionEvent.StatementReceived received) {
            Optional.ofNullable(mSessions.get(received.session()))
                    .ifPresent(session -> contain(session, () -> enqueue(session, received)));
        } else if (event instanceof SessionEvent.ReplyReceived replied) {
            mCalls.onReply(replied.reply());
        } else if (event instanceof SessionEvent.OpenRequested requested) {
            openSession(requested);
        } else if (event instanceof SessionEvent.SessionEnded ended) {
            endSession(ended.session());
        } else if (event instanceof SessionEvent.ViewChanged changed) {
            onViewChanged(changed.view());
        } else if (event instanceof SessionEvent.LinkLost lost) {
            mCalls.onLinkLost(lost.host());
        } else if (event instanceof SessionEvent.HostEnding) {
            mSessions.values().forEach(this::answerAtEnd);
            mCalls.clear();
        } else if (event instanceof SessionEvent.PhaseChanged changed) {
            mPhase = changed.phase();
            if (mPhase == Phase.LEAVING) {
                mLeavingSinceNanos = mClock.getAsLong();
            }
            if (mPhase == Phase.DRAINING) {
                refusePendingOpens(open -> true, Refusals.stopping());
            }
            closeIdleSessions();
        }
    }

    @Override
    public long onTimer(long nowNanos) {
        if (mNextTickNanos - nowNanos <= 0) {
            mCalls.checkTimeouts(nowNanos);
            refusePendingOpens(
                    open -> nowNanos - open.holdUntilNanos() >= 0,
                    Refusals.unavailable("this host has not received a configuration yet"));
            closeIdleSessions();
            mNextTickNanos = nowNanos + TICK_NANOS;
        }
        boolean idle = mCalls.isEmpty() && mPendingOpens.isEmpty() && mPhase == Phase.SERVING;
        long next = idle ? nowNanos + IDLE_TICK_NANOS : mNextTickNanos;
        mCalls.expectCheckBy(next);
        return next;
    }

    /**
     * Runs an action that changes nothing but one session and its calls. An exception ends that
     * session only.
     */
    private void contain(CallerSession session, Runnable action) {
        try {
            action.run();
        } catch (RuntimeException e) {
            abandon(session, e);
        }
    }

    /** Answers the statements that the end of the process would leave without an answer. */
    private void answerAtEnd(CallerSession session) {
        session.mUnanswered.ifPresent(statement -> mLog.refused(session.mNumber, STOPPED_CALL));
        session.failStatements(Refusals.stopping(), STOPPED_CALL);
    }

    /** Answers each statement of a session as far as its outcome is known, and closes it. */
    private void abandon(CallerSession session, RuntimeException failure) {
        mLog.abandoned(session.mNumber, failure);
        session.mCall.ifPresent(mCalls::remove);
        session.failStatements(
                Failure.notRun(ErrorCode.INTERNAL, "this host failed before the statement ran"),
                Failure.mayHaveRun("this host failed while the statement ran"));
        session.mChannel.close();
        endSession(session.mNumber);
    }

    private void onViewChanged(ControlView view) {
        ControlState before = mView.state();
        mWithdrawnKeys = mWithdrawnKeys.afterChange(before, view.state(), mClock.getAsLong());
        mView = view;
        if (configurationVersion() != before.configuration().version()) {
            mLog.configurationChanged(before.configuration().version(), configurationVersion());
        }
        if (before.keys() != view.state().keys()) {
            mSessions.values().forEach(session -> contain(session, () -> checkKey(session)));
        }
        openPendingSessions();
        mCalls.onViewChanged();
    }

    /** Ends the open work of a session if its key was withdrawn. */
    private void checkKey(CallerSession session) {
        RouteCheck check = checkWithoutAge(session);
        if (!check.endsTransaction()) {
            return;
        }
        boolean callSent = session.mCall.filter(call -> call.mSentTo.isPresent()).isPresent();
        KeyWithdrawal.Effect effect = KeyWithdrawal.of(session.mState, callSent);
        if (effect.endsAtLeaseholder()) {
            mLog.ended(session.mNumber, check.failure().orElseThrow(), configurationVersion());
            endWork(session);
        }
        session.mState = effect.state();
    }

    private void openSession(SessionEvent.OpenRequested request) {
        RouteCheck check = RouteCheck.of(mView.state(), request.database(), request.keyHash());
        if (sessionCount() >= MAX_SESSIONS) {
            refuse(request, Refusals.unavailable("this host has too many sessions"));
        } else if (mPhase == Phase.STOPPED || mPhase == Phase.DRAINING) {
            // The session would be closed as idle, often with its first statement on the way.
            refuse(request, Refusals.stopping());
        } else if (!hasConfiguration()) {
            // After a restart the configuration arrives within a second, before a caller would
            // retry.
            long now = mClock.getAsLong();
            mPendingOpens.put(
                    request.session(), new PendingOpen(request, now + HOLD_TIMEOUT_NANOS));
            mNextTickNanos = Math.min(mNextTickNanos, now + TICK_NANOS);
        } else if (!mCurrentState.getAsBoolean()) {
            refuse(request, Refusals.outdated());
        } else if (check.failure().isPresent()) {
            refuse(request, check.failure().get());
        } else if (mWithdrawnKeys.contains(request.keyHash(), mClock.getAsLong())) {
            refuse(request, Refusals.recentlyWithdrawn());
        } else {
            WorkspaceId workspace = check.access().orElseThrow().workspace();
            mSessions.put(request.session(), new CallerSession(request, workspace));
            if (workspace.equals(RouteCheck.ANONYMOUS)) {
                mLog.openedWithoutKey(request.session(), workspace, configurationVersion());
            }
            request.channel().accept();
        }
    }

    private boolean hasConfiguration() {
        return configurationVersion() > 0;
    }

    private long configurationVersion() {
        return mView.state().configuration().version();
    }

    private void openPendingSessions() {
        if (hasConfiguration() && !mPendingOpens.isEmpty()) {
            List<PendingOpen> pending = List.copyOf(mPendingOpens.values());
            mPendingOpens.clear();
            pending.forEach(open -> openSession(open.request()));
        }
    }

    private void refusePendingOpens(Predicate<PendingOpen> condition, Failure failure) {
        List<PendingOpen> refused = mPendingOpens.values().stream().filter(condition).toList();
        refused.forEach(open -> mPendingOpens.remove(open.request().session()));
        refused.forEach(open -> refuse(open.request(), failure));
    }

    private void refuse(SessionEvent.OpenRequested request, Failure failure) {
        mMetrics.recordRefusal(failure.code().name());
        mLog.refused(request.session(), failure);
        request.channel().refuse(failure);
    }

    private void enqueue(CallerSession session, SessionEvent.StatementReceived event) {
        session.mStatements++;
        if (session.mQueuedStatements.size() >= MAX_QUEUED_STATEMENTS) {
            mLog.closed(session.mNumber, "too many statements are queued");
            session.mChannel.close();
            endSession(session.mNumber);
            return;
        }
        session.mQueuedStatements.add(event.statement());
        runQueued(session);
    }

    private void runQueued(CallerSession session) {
        while (session.mCall.isEmpty() && !session.mQueuedStatements.isEmpty()) {
            SessionStatement statement = session.mQueuedStatements.remove();
            session.mUnanswered = Optional.of(statement);
            RouteCheck check = check(session);
            SessionStep step = SessionDecisions.decide(session.mState, statement, check);
            if (step instanceof SessionStep.Answer answer) {
                if (answer.endsTransaction()) {
                    endTransaction(session);
                }
                session.mState = answer.state();
                session.answer(statement, answer.outcome());
            } else if (step instanceof SessionStep.Forward forward) {
                if (mPhase == Phase.STOPPED && forward.step() == TransactionStep.NONE) {
                    refuse(session, statement, Refusals.stopping());
                } else if (forward.step() != TransactionStep.NONE && endsTransactions()) {
                    abortTransaction(session, statement);
                } else {
                    forward(session, statement, forward, check);
                }
            }
        }
    }

    /** Returns whether open transactions have had their time at a planned stop. */
    private boolean endsTransactions() {
        return mPhase == Phase.STOPPED
                || mPhase == Phase.DRAINING
                        && mClock.getAsLong() - mLeavingSinceNanos >= mTransactionLimit.toNanos();
    }

    /** Refuses a statement that the end of the process could cut off, and its transaction. */
    private void abortTransaction(CallerSession session, SessionStatement statement) {
        endTransaction(session);
        refuse(session, statement, Failure.notRun(ErrorCode.TRANSACTION_LOST, "this host stops"));
    }

    private void refuse(CallerSession session, SessionStatement statement, Failure failure) {
        boolean inTransaction = failure.code() == ErrorCode.TRANSACTION_LOST;
        SessionOutcome outcome = SessionOutcome.failed(failure, inTransaction);
        mMetrics.recordRefusal(failure.code().name());
        mLog.refused(session.mNumber, failure);
        session.mState = SessionDecisions.applyOutcome(session.mState, statement, outcome);
        session.answer(statement, outcome);
    }

    /**
     * Returns whether a session may use its route now. Without a current state, its key may have
     * been withdrawn meanwhile.
     */
    private RouteCheck check(CallerSession session) {
        return mCurrentState.getAsBoolean()
                ? checkWithoutAge(session)
                : RouteCheck.refused(Refusals.outdated(), true);
    }

    private RouteCheck checkWithoutAge(CallerSession session) {
        // A key that was issued after the session was opened may have given it another workspace.
        WorkspaceId workspace =
                session.mState.access().map(RouteAccess::workspace).orElse(session.mWorkspace);
        RouteCheck check =
                RouteCheck.ofSession(mView.state(), session.mDatabase, session.mKeyHash, workspace);
        boolean anonymous =
                check.access()
                        .filter(access -> access.workspace().equals(RouteCheck.ANONYMOUS))
                        .isPresent();
        return anonymous && mWithdrawnKeys.contains(session.mKeyHash, mClock.getAsLong())
                ? RouteCheck.refused(Refusals.recentlyWithdrawn(), true)
                : check;
    }

    private void endTransaction(CallerSession session) {
        session.mState.access().ifPresent(access -> endAt(session, group(access.route())));
    }

    /** Ends the transaction of a session, or its statement outside of transactions. */
    private void endWork(CallerSession session) {
        session.mCall.ifPresentOrElse(
                call -> endAt(session, call.mMessage.group()), () -> endTransaction(session));
    }

    private void endAt(CallerSession session, GroupId group) {
        session.mLeaseholder.ifPresent(
                leaseholder ->
                        mDispatcher.end(leaseholder, new SessionEnd(session.mNumber, group)));
    }

    private static GroupId group(Route route) {
        return GroupId.of(route.service(), Service.SINGLE_DATABASE);
    }

    private void forward(
            CallerSession session,
            SessionStatement statement,
            SessionStep.Forward forward,
            RouteCheck check) {
        long now = mClock.getAsLong();
        Route route = forward.access().route();
        Optional<PreparedShape> shape =
                statement.kind() == StatementKind.EXECUTE
                        ? Optional.ofNullable(
                                session.mState.context().prepared().get(statement.name()))
                        : Optional.empty();
        SessionCall message =
                new SessionCall(
                        mCalls.nextId(),
                        session.mNumber,
                        group(route),
                        0,
                        forward.access().workspace(),
                        new SessionCall.Options(
                                route.consistency(),
                                route.maxAge().toMillis(),
                                route.priority(),
                                route.timeout().toMillis()),
                        forward.step(),
                        statement,
                        shape,
                        session.mState.context().values(),
                        session.mState.lastCommit());
        long timeout = route.timeout().toNanos();
        PendingCall call =
                new PendingCall(session, message, now, now + timeout, route.target().toNanos());
        session.mCall = Optional.of(call);
        mCalls.add(call);
        check.failure().ifPresent(f -> mLog.sentDespite(f, message, configurationVersion()));
        mCalls.send(call, now);
        mNextTickNanos = Math.min(mNextTickNanos, now + TICK_NANOS);
    }

    private void onEnded(PendingCall call, SessionOutcome outcome) {
        CallerSession session = call.mSession;
        call.recordOutcome(mMetrics, outcome);
        if (!mSessions.containsKey(session.mNumber)) {
            session.mCall = Optional.empty();
            if (call.mMessage.step() != TransactionStep.NONE) {
                endTransaction(session);
            }
            return;
        }
        SessionOutcome reported =
                SessionDecisions.reported(session.mState, outcome, checkWithoutAge(session));
        reported.failure().ifPresent(failure -> mLog.failed(call.mMessage, failure));
        session.mState =
                SessionDecisions.applyOutcome(session.mState, call.mMessage.statement(), reported);
        session.answer(call.mMessage.statement(), reported);
        session.mCall = Optional.empty();
        runQueued(session);
    }

    private void endSession(long number) {
        mPendingOpens.remove(number);
        CallerSession session = mSessions.remove(number);
        if (session != null && session.mState.transactionStarted()) {
            endTransaction(session);
        }
        if (mPhase == Phase.DRAINING) {
            mSessionCountListener.accept(mPhase, sessionCount());
        }
    }

    /**
     * Closes idle sessions while the process stops or cannot reach the control hosts, so that the
     * callers connect to a host that can serve them.
     */
    private void closeIdleSessions() {
        boolean isolated = mPhase == Phase.SERVING && !mCurrentState.getAsBoolean();
        if (mPhase != Phase.DRAINING && !isolated) {
            return;
        }
        List.copyOf(mSessions.values()).stream()
                .filter(session -> session.mState.phase() == SessionState.Phase.IDLE)
                .filter(session -> session.mCall.isEmpty() && session.mQueuedStatements.isEmpty())
                .forEach(session -> session.mChannel.closeIfIdle(session.mStatements));
        mSessionCountListener.accept(mPhase, sessionCount());
    }

    private int sessionCount() {
        return mSessions.size() + mPendingOpens.size();
    }

    /** Lets the open calls use the sessions of this duty. */
    private final class CallOwner implements OpenCalls.Sessions {
        @Override
        public ControlState state() {
            return mView.state();
        }

        @Override
        public RouteCheck check(CallerSession session) {
            return SessionsDuty.this.check(session);
        }

        @Override
        public void contain(CallerSession session, Runnable action) {
            SessionsDuty.this.contain(session, action);
        }

        @Override
        public void onEnded(PendingCall call, SessionOutcome outcome) {
            SessionsDuty.this.onEnded(call, outcome);
        }

        @Override
        public void endTransaction(CallerSession session) {
            SessionsDuty.this.endTransaction(session);
        }
    }
}
