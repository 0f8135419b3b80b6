package org.crocusturn.daemon.callers;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.IntConsumer;
import org.apache.logging.log4j.LogManager;
import org.crocusturn.core.ErrorCode;
import org.crocusturn.core.Failure;
import org.crocusturn.core.GroupId;
import org.crocusturn.core.Verdict;
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.callers.PreparedShape;
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
import org.crocusturn.core.operators.GroupRecord;
import org.crocusturn.core.operators.Leaseholder;
import org.crocusturn.core.operators.Route;
import org.crocusturn.core.operators.Service;
import org.crocusturn.core.platform.Phase;
import org.crocusturn.core.ring.DutyHandler;
import org.crocusturn.core.ring.SteadyClock;
import org.crocusturn.daemon.platform.DecisionLog;
import org.crocusturn.daemon.platform.Metrics;

/** Owns the sessions of this entry host and brings their statements to leaseholders. */
public final class SessionsDuty implements DutyHandler<SessionEvent> {
    /** Statements of one session that may wait; a caller that sends more is cut off. */
    private static final int MAX_PIPELINED = 64;

    /** Sessions of one entry host; more are refused so that memory stays bounded. */
    private static final int MAX_SESSIONS = 3_000;

    /** Time between looks at calls that wait for a leaseholder or an answer. */
    private static final long TICK_NANOS = Duration.ofMillis(20).toNanos();

    private static final double NANOS_PER_SECOND = 1e9;

    private static final long IDLE_NANOS = Duration.ofMillis(500).toNanos();

    /**
     * Time for which a call waits for a leaseholder, or a new session for the first configuration;
     * a lease moves within about 1.2 s.
     */
    private static final long HOLD_NANOS = Duration.ofMillis(400).toNanos();

    /** When callers should come back while a group has no leaseholder. */
    private static final Duration RETRY_AFTER = Duration.ofMillis(250);

    private final SessionDispatcher mDispatcher;
    private final IntConsumer mOnBusy;
    private final BooleanSupplier mInTouch;
    private final Metrics mMetrics;
    private final DecisionLog mLog =
            DecisionLog.create(LogManager.getLogger(SessionsDuty.class), "callers");
    private final Map<Long, Session> mSessions = new HashMap<>();
    private final Map<Long, Call> mCalls = new HashMap<>();
    private final Map<Long, Opening> mOpening = new LinkedHashMap<>();
    private ControlView mView;
    private WithdrawnKeys mWithdrawn = WithdrawnKeys.EMPTY;
    private Phase mPhase = Phase.STARTING;
    private long mNextCall = 1;
    private long mNextTickNanos;

    private SessionsDuty(
            ControlView view,
            SessionDispatcher dispatcher,
            IntConsumer onBusy,
            BooleanSupplier inTouch,
            Metrics metrics) {
        mInTouch = inTouch;
        mMetrics = metrics;
        mView = view;
        mDispatcher = dispatcher;
        mOnBusy = onBusy;
    }

    /** Is a session that was asked for before this host knew a configuration. */
    private record Opening(SessionEvent.Opened opened, long holdUntilNanos) {}

    /** Is a session; its state is replaced, never changed. */
    private static final class Session {
        private final long mNumber;
        private final SessionChannel mChannel;
        private final String mDatabase;
        private final String mKeyHash;
        private final WorkspaceId mWorkspace;
        private final Deque<SessionStatement> mWaiting = new ArrayDeque<>();
        private SessionState mState = SessionState.NEW;
        private Optional<Call> mCall = Optional.empty();
        private Optional<Leaseholder> mHolder = Optional.empty();

        private Session(SessionEvent.Opened opened, WorkspaceId workspace) {
            mNumber = opened.session();
            mChannel = opened.channel();
            mDatabase = opened.database();
            mKeyHash = opened.keyHash();
            mWorkspace = workspace;
        }
    }

    /** Is a statement on its way. */
    private static final class Call {
        private final Session mSession;
        private final long mStartNanos;
        private final long mDeadlineNanos;
        private final long mHoldUntilNanos;
        private SessionCall mMessage;
        private Optional<Leaseholder> mSentTo = Optional.empty();
        private long mAvoidedEpoch;

        private Call(
                Session session, SessionCall message, long start, long deadline, long holdUntil) {
            mSession = session;
            mMessage = message;
            mStartNanos = start;
            mDeadlineNanos = deadline;
            mHoldUntilNanos = holdUntil;
        }
    }

    /**
     * Creates the handler.
     *
     * @param view view of a host that knows nothing yet
     * @param dispatcher brings calls to leaseholders
     * @param onBusy told the number of open sessions while the process stops
     * @param inTouch tells whether the control leader has answered lately
     * @param metrics metrics of the process
     */
    public static SessionsDuty create(
            ControlView view,
            SessionDispatcher dispatcher,
            IntConsumer onBusy,
            BooleanSupplier inTouch,
            Metrics metrics) {
        return new SessionsDuty(
                Objects.requireNonNull(view, "view"),
                Objects.requireNonNull(dispatcher, "dispatcher"),
                Objects.requireNonNull(onBusy, "onBusy"),
                Objects.requireNonNull(inTouch, "inTouch"),
                Objects.requireNonNull(metrics, "metrics"));
    }

    @Override
    public void onEvent(SessionEvent event) {
        if (event instanceof SessionEvent.Asked asked) {
            ask(asked);
        } else if (event instanceof SessionEvent.Replied replied) {
            reply(replied);
        } else if (event instanceof SessionEvent.Opened opened) {
            open(opened);
        } else if (event instanceof SessionEvent.Left left) {
            leave(left.session());
        } else if (event instanceof SessionEvent.ViewChanged changed) {
            mWithdrawn =
                    mWithdrawn.afterChange(
                            mView.state(), changed.view().state(), SteadyClock.nanoTime());
            mView = changed.view();
            openHeld();
            List.copyOf(mCalls.values()).forEach(this::follow);
        } else if (event instanceof SessionEvent.LinkLost lost) {
            List.copyOf(mCalls.values()).stream()
                    .filter(c -> c.mSentTo.filter(h -> h.host().equals(lost.host())).isPresent())
                    .forEach(this::lose);
        } else if (event instanceof SessionEvent.PhaseChanged changed) {
            mPhase = changed.phase();
            closeIdle();
        }
    }

    @Override
    public long onTimer(long nowNanos) {
        if (mNextTickNanos - nowNanos <= 0) {
            List.copyOf(mCalls.values()).forEach(c -> check(c, nowNanos));
            refuseHeld(nowNanos);
            closeIdle();
            mNextTickNanos = nowNanos + TICK_NANOS;
        }
        boolean idle = mCalls.isEmpty() && mOpening.isEmpty() && mPhase == Phase.SERVING;
        return idle ? nowNanos + IDLE_NANOS : mNextTickNanos;
    }

    private void open(SessionEvent.Opened opened) {
        RouteCheck check = RouteCheck.of(mView.state(), opened.database(), opened.keyHash());
        if (mSessions.size() + mOpening.size() >= MAX_SESSIONS) {
            refuse(opened, unavailable("this host has too many sessions"));
        } else if (!knowsConfiguration()) {
            // After a restart the configuration comes within a second, sooner than a caller's
            // retry.
            long now = SteadyClock.nanoTime();
            mOpening.put(opened.session(), new Opening(opened, now + HOLD_NANOS));
            mNextTickNanos = Math.min(mNextTickNanos, now + TICK_NANOS);
        } else if (check.failure().isPresent()) {
            refuse(opened, check.failure().get());
        } else if (mWithdrawn.contains(opened.keyHash(), SteadyClock.nanoTime())) {
            refuse(opened, unavailable("the key has just left its workspace"));
        } else {
            mSessions.put(
                    opened.session(),
                    new Session(opened, check.workspace().orElse(RouteCheck.ANONYMOUS)));
            opened.channel().accept();
        }
    }

    private boolean knowsConfiguration() {
        return mView.state().configuration().version() > 0;
    }

    private void openHeld() {
        if (knowsConfiguration() && !mOpening.isEmpty()) {
            List<Opening> held = List.copyOf(mOpening.values());
            mOpening.clear();
            held.forEach(o -> open(o.opened()));
        }
    }

    private void refuseHeld(long now) {
        List<Opening> late =
                mOpening.values().stream().filter(o -> now - o.holdUntilNanos() >= 0).toList();
        late.forEach(o -> mOpening.remove(o.opened().session()));
        late.forEach(o -> refuse(o.opened(), unavailable("this host knows no configuration yet")));
    }

    private void refuse(SessionEvent.Opened opened, Failure failure) {
        mMetrics.recordRefusal(failure.code().name());
        log("session " + opened.session() + " is refused: " + failure.message());
        opened.channel().refuse(failure);
    }

    private static Failure unavailable(String message) {
        return Failure.notRun(ErrorCode.UNAVAILABLE, message).withRetryAfter(RETRY_AFTER);
    }

    private void ask(SessionEvent.Asked asked) {
        Session session = mSessions.get(asked.session());
        if (session == null) {
            return;
        }
        if (session.mWaiting.size() >= MAX_PIPELINED) {
            log("session " + session.mNumber + " is closed: too many statements wait");
            session.mChannel.close();
            leave(session.mNumber);
            return;
        }
        session.mWaiting.add(asked.statement());
        next(session);
    }

    private void next(Session session) {
        while (session.mCall.isEmpty() && !session.mWaiting.isEmpty()) {
            SessionStatement statement = session.mWaiting.remove();
            RouteCheck check =
                    RouteCheck.of(mView.state(), session.mDatabase, session.mKeyHash)
                            .forSessionOf(session.mWorkspace);
            SessionStep step = SessionDecisions.decide(session.mState, statement, check);
            if (step instanceof SessionStep.Answer answer) {
                if (answer.endsTransaction()) {
                    endTransaction(session);
                }
                session.mState = answer.state();
                session.mChannel.answer(statement, answer.outcome(), answer.state().phase());
            } else if (step instanceof SessionStep.Forward forward) {
                forward(session, statement, forward, check);
            }
        }
    }

    private void endTransaction(Session session) {
        Optional<Route> route = session.mState.route();
        session.mHolder.ifPresent(
                holder ->
                        route.ifPresent(
                                r ->
                                        mDispatcher.end(
                                                holder,
                                                new SessionEnd(session.mNumber, group(r)))));
    }

    private static GroupId group(Route route) {
        return GroupId.of(route.service(), Service.SINGLE_DATABASE);
    }

    private void forward(
            Session session,
            SessionStatement statement,
            SessionStep.Forward forward,
            RouteCheck check) {
        long now = SteadyClock.nanoTime();
        Route route = forward.route();
        Optional<PreparedShape> shape =
                statement.kind() == StatementKind.EXECUTE
                        ? Optional.ofNullable(
                                session.mState.context().prepared().get(statement.name()))
                        : Optional.empty();
        SessionCall message =
                new SessionCall(
                        mNextCall++,
                        session.mNumber,
                        group(route),
                        0,
                        check.workspace().orElse(RouteCheck.ANONYMOUS),
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
        Call call =
                new Call(
                        session,
                        message,
                        now,
                        now + timeout,
                        now + Math.min(HOLD_NANOS, timeout / 2));
        session.mCall = Optional.of(call);
        mCalls.put(message.id(), call);
        transmit(call);
        mNextTickNanos = Math.min(mNextTickNanos, now + TICK_NANOS);
    }

    /** Sends a call to the leaseholder; it stays waiting if there is none or no link to it. */
    private void transmit(Call call) {
        Optional<Leaseholder> holder = leaseholder(call.mMessage.group());
        boolean continues = call.mMessage.step() == TransactionStep.CONTINUE;
        if (continues) {
            // The transaction lives where it began, whoever holds the lease now.
            holder = call.mSession.mHolder;
        }
        if (holder.isEmpty() || holder.get().epoch() == call.mAvoidedEpoch) {
            return;
        }
        long left = Duration.ofNanos(call.mDeadlineNanos - SteadyClock.nanoTime()).toMillis();
        mCalls.remove(call.mMessage.id());
        call.mMessage =
                call.mMessage.withLease(mNextCall++, holder.get().epoch(), Math.max(1, left));
        mCalls.put(call.mMessage.id(), call);
        if (mDispatcher.call(holder.get(), call.mMessage)) {
            call.mSentTo = holder;
            call.mSession.mHolder = holder;
        } else if (continues) {
            lose(call);
        }
    }

    private void reply(SessionEvent.Replied replied) {
        Call call = mCalls.get(replied.reply().id());
        if (call == null) {
            return;
        }
        SessionOutcome outcome = replied.reply().outcome();
        boolean moved =
                outcome.failure()
                        .filter(f -> f.code() == ErrorCode.MOVED && f.verdict() == Verdict.NOT_RUN)
                        .isPresent();
        if (moved && call.mMessage.step() != TransactionStep.CONTINUE) {
            call.mAvoidedEpoch = call.mMessage.epoch();
            call.mSentTo = Optional.empty();
            transmit(call);
            return;
        }
        finish(call, outcome);
    }

    private void finish(Call call, SessionOutcome outcome) {
        mCalls.remove(call.mMessage.id());
        Session session = call.mSession;
        session.mCall = Optional.empty();
        count(call, outcome);
        if (!mSessions.containsKey(session.mNumber)) {
            if (call.mMessage.step() != TransactionStep.NONE) {
                endTransaction(session);
            }
            return;
        }
        outcome.failure()
                .ifPresent(
                        f ->
                                log(
                                        "session "
                                                + session.mNumber
                                                + " statement "
                                                + call.mMessage.statement().id()
                                                + " call "
                                                + call.mMessage.id()
                                                + " fails: "
                                                + f.code()
                                                + " "
                                                + f.message()));
        session.mState =
                SessionDecisions.applyOutcome(session.mState, call.mMessage.statement(), outcome);
        session.mChannel.answer(call.mMessage.statement(), outcome, session.mState.phase());
        next(session);
    }

    private void count(Call call, SessionOutcome outcome) {
        Verdict verdict = outcome.failure().map(Failure::verdict).orElse(Verdict.RAN);
        mMetrics.recordRequest(
                call.mMessage.workspace().value(),
                verdict.wireName(),
                call.mMessage.options().consistency().name().toLowerCase(Locale.ROOT),
                call.mMessage.writes() ? "write" : "read",
                (SteadyClock.nanoTime() - call.mStartNanos) / NANOS_PER_SECOND);
        outcome.failure().ifPresent(f -> mMetrics.recordRefusal(f.code().name()));
    }

    private void leave(long number) {
        mOpening.remove(number);
        Session session = mSessions.remove(number);
        if (session != null && session.mState.begun()) {
            endTransaction(session);
        }
        if (mPhase != Phase.SERVING) {
            mOnBusy.accept(mSessions.size());
        }
    }

    /** Sends a waiting call, and a read again whose group has another leaseholder now. */
    private void follow(Call call) {
        SessionCall message = call.mMessage;
        boolean superseded =
                call.mSentTo.isPresent()
                        && message.step() == TransactionStep.NONE
                        && !message.writes()
                        && leaseholder(message.group())
                                .filter(h -> h.epoch() > message.epoch())
                                .isPresent();
        if (superseded) {
            lose(call);
        } else if (call.mSentTo.isEmpty()) {
            transmit(call);
        }
    }

    private Optional<Leaseholder> leaseholder(GroupId group) {
        return Optional.ofNullable(mView.state().groups().get(group))
                .flatMap(GroupRecord::leaseholder);
    }

    /** Decides about a call whose leaseholder cannot be reached any more. */
    private void lose(Call call) {
        SessionCall message = call.mMessage;
        boolean commits =
                message.statement().kind() == StatementKind.COMMIT
                        || message.step() == TransactionStep.NONE && message.writes();
        if (commits) {
            finish(
                    call,
                    SessionOutcome.failed(Failure.mayHaveRun("the leaseholder was lost"), false));
        } else if (message.step() == TransactionStep.CONTINUE) {
            finish(
                    call,
                    SessionOutcome.failed(
                            Failure.notRun(ErrorCode.TRANSACTION_LOST, "the leaseholder was lost"),
                            true));
        } else {
            call.mSentTo = Optional.empty();
            call.mAvoidedEpoch = message.epoch();
            transmit(call);
        }
    }

    private void check(Call call, long now) {
        if (call.mSentTo.isEmpty()) {
            if (now - call.mHoldUntilNanos >= 0) {
                boolean open = call.mMessage.step() != TransactionStep.NONE;
                finish(
                        call,
                        SessionOutcome.failed(unavailable("the group has no leaseholder"), open));
            } else {
                transmit(call);
            }
        } else if (now - call.mDeadlineNanos >= 0) {
            boolean open = call.mMessage.step() != TransactionStep.NONE;
            finish(
                    call,
                    SessionOutcome.failed(
                            new Failure(
                                    ErrorCode.TIMED_OUT,
                                    Verdict.MAY_HAVE_RUN,
                                    "the leaseholder did not answer in time",
                                    Optional.empty()),
                            open));
            if (open) {
                endTransaction(call.mSession);
            }
        }
    }

    /**
     * Closes sessions between two operations while the process stops or is cut off from the control
     * hosts, so that their callers reach a host that can serve them.
     */
    private void closeIdle() {
        boolean cutOff = mPhase == Phase.SERVING && !mInTouch.getAsBoolean();
        if (mPhase != Phase.DRAINING && !cutOff) {
            return;
        }
        List.copyOf(mSessions.values()).stream()
                .filter(s -> s.mState.phase() == SessionState.Phase.IDLE)
                .filter(s -> s.mCall.isEmpty() && s.mWaiting.isEmpty())
                .forEach(
                        s -> {
                            mSessions.remove(s.mNumber);
                            s.mChannel.close();
                        });
        mOnBusy.accept(mSessions.size());
    }

    private void log(String line) {
        mLog.write(line, SteadyClock.nanoTime());
    }
}
