package org.crocusturn.daemon.callers;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.crocusturn.core.ErrorCode;
import org.crocusturn.core.Failure;
import org.crocusturn.core.GroupId;
import org.crocusturn.core.HostId;
import org.crocusturn.core.Verdict;
import org.crocusturn.core.callers.RouteCheck;
import org.crocusturn.core.callers.SessionOutcome;
import org.crocusturn.core.callers.StatementKind;
import org.crocusturn.core.callers.TransactionStep;
import org.crocusturn.core.entryhosts.CallDecisions;
import org.crocusturn.core.entryhosts.GroupService;
import org.crocusturn.core.entryhosts.SessionCall;
import org.crocusturn.core.entryhosts.SessionReply;
import org.crocusturn.core.operators.ControlState;
import org.crocusturn.core.operators.GroupRecord;
import org.crocusturn.core.operators.Leaseholder;

/**
 * Calls that wait for a leaseholder or for its reply.
 *
 * <p>Not thread-safe: used only by the thread of {@link SessionsDuty}.
 */
final class OpenCalls {
    /** Interval of the checks while calls are open. */
    static final long RUN_INTERVAL_NANOS = Duration.ofMillis(20).toNanos();

    private final SessionDispatcher mDispatcher;
    private final Sessions mSessions;
    private final LongSupplier mClock;
    private final LeaseholderWatch mWatch;
    private final Map<Long, PendingCall> mCalls = new HashMap<>();
    private final Map<GroupId, GroupService> mGroups = new HashMap<>();
    private long mNextCallId = 1;

    OpenCalls(SessionDispatcher dispatcher, Sessions sessions, LongSupplier clock) {
        mClock = clock;
        mDispatcher = dispatcher;
        mSessions = sessions;
        mWatch = new LeaseholderWatch(dispatcher, mClock.getAsLong() + RUN_INTERVAL_NANOS);
    }

    /** The sessions that the calls belong to. */
    interface Sessions {
        /** Returns the copy of the replicated state. */
        ControlState state();

        /** Returns whether a session may use its route now. */
        RouteCheck check(CallerSession session);

        /** Runs an action that changes nothing but one session and its calls. */
        void contain(CallerSession session, Runnable action);

        /** Called when a call, which is no longer open, has ended. */
        void onEnded(PendingCall call, SessionOutcome outcome);

        /** Ends the transaction of a session at its leaseholder. */
        void endTransaction(CallerSession session);
    }

    boolean isEmpty() {
        return mCalls.isEmpty();
    }

    /** Returns the id of the next call. */
    long nextId() {
        return mNextCallId++;
    }

    void add(PendingCall call) {
        mCalls.put(call.mMessage.id(), call);
    }

    void remove(PendingCall call) {
        mCalls.remove(call.mMessage.id());
    }

    void clear() {
        mCalls.clear();
    }

    void onReply(SessionReply reply) {
        long now = mClock.getAsLong();
        Optional.ofNullable(mCalls.get(reply.id()))
                .ifPresent(
                        call ->
                                mSessions.contain(
                                        call.mSession, () -> onReply(call, reply.outcome(), now)));
    }

    /** Sends waiting calls; sends reads again if their group has a new leaseholder. */
    void onViewChanged() {
        long now = mClock.getAsLong();
        mGroups.keySet().retainAll(mSessions.state().groups().keySet());
        mGroups.replaceAll((group, service) -> service.with(leaseholder(group), now));
        mWatch.retain(
                mGroups.values().stream()
                        .flatMap(service -> service.leaseholder().stream())
                        .map(Leaseholder::linkAddress)
                        .collect(Collectors.toSet()));
        forEach(call -> onViewChanged(call, now));
    }

    void onLinkLost(HostId host) {
        long now = mClock.getAsLong();
        forEach(
                call -> {
                    if (call.mSentTo.filter(to -> to.host().equals(host)).isPresent()) {
                        onLeaseholderLost(call, now);
                    }
                });
    }

    /** Ends the calls that may wait no longer, and sends those that need not wait any more. */
    void checkTimeouts(long nowNanos) {
        mWatch.onRun(nowNanos);
        forEach(call -> checkTimeouts(call, nowNanos));
    }

    /** Sets the time of the next check at the latest. */
    void expectCheckBy(long nanos) {
        mWatch.expectRunBy(nanos);
    }

    private void forEach(Consumer<PendingCall> action) {
        List.copyOf(mCalls.values())
                .forEach(call -> mSessions.contain(call.mSession, () -> action.accept(call)));
    }

    /**
     * Sends a call to the leaseholder of its group, lets it wait or refuses it. It fails if the key
     * of its session was withdrawn while it waited, or may have been.
     */
    void send(PendingCall call, long nowNanos) {
        mWatch.onRun(nowNanos);
        boolean continues = call.mMessage.step() == TransactionStep.CONTINUE;
        Optional<Failure> refusal =
                Optional.of(mSessions.check(call.mSession))
                        .filter(check -> check.endsTransaction() && !continues)
                        .flatMap(RouteCheck::failure);
        if (refusal.isPresent()) {
            boolean inTransaction = call.mMessage.step() != TransactionStep.NONE;
            finish(call, withVerdict(call, SessionOutcome.failed(refusal.get(), inTransaction)));
        } else if (continues) {
            // A transaction stays on the host where it began, even if the lease moves or its
            // leaseholder is silent: no other host can run the statement.
            boolean sent =
                    call.mSession
                            .mLeaseholder
                            .filter(leaseholder -> transmit(call, leaseholder, nowNanos))
                            .isPresent();
            if (!sent) {
                onLeaseholderLost(call, nowNanos);
            }
        } else {
            sendNew(call, nowNanos);
        }
    }

    private void sendNew(PendingCall call, long nowNanos) {
        GroupService group = service(call.mMessage.group(), nowNanos);
        CallDecisions.Step step =
                CallDecisions.decideUnsent(
                        call.waiting(),
                        group,
                        group.leaseholder().flatMap(l -> mWatch.evidence(l, nowNanos)),
                        nowNanos);
        if (step instanceof CallDecisions.Step.Refuse refuse) {
            fail(call, refuse.failure());
        } else if (step instanceof CallDecisions.Step.Send send
                && !transmit(call, send.leaseholder(), nowNanos)) {
            CallDecisions.failureOfUnsentCall(call.waiting(), nowNanos)
                    .ifPresent(failure -> fail(call, failure));
        }
    }

    private boolean transmit(PendingCall call, Leaseholder leaseholder, long nowNanos) {
        long remainingMillis = Duration.ofNanos(call.mDeadlineNanos - nowNanos).toMillis();
        mCalls.remove(call.mMessage.id());
        call.mMessage =
                call.mMessage.withLease(
                        mNextCallId++, leaseholder.epoch(), Math.max(1, remainingMillis));
        mCalls.put(call.mMessage.id(), call);
        boolean sentBefore = call.mMayHaveRun;
        call.mMayHaveRun = true;
        boolean sent = mDispatcher.call(leaseholder, call.mMessage);
        if (sent) {
            call.mSentTo = Optional.of(leaseholder);
            call.mSession.mLeaseholder = call.mSentTo;
            mWatch.onCallSent(leaseholder, nowNanos);
        } else {
            call.mMayHaveRun = sentBefore;
        }
        return sent;
    }

    private void onReply(PendingCall call, SessionOutcome outcome, long nowNanos) {
        boolean moved =
                outcome.failure()
                        .filter(
                                failure ->
                                        failure.code() == ErrorCode.MOVED
                                                && failure.verdict() == Verdict.NOT_RUN)
                        .isPresent();
        if (moved && call.mMessage.step() != TransactionStep.CONTINUE) {
            call.mMayHaveRun = call.mLostBefore;
            sendElsewhere(call, nowNanos);
            return;
        }
        finish(call, withVerdict(call, outcome));
    }

    /** Returns the outcome without a verdict that holds only for the last attempt of a read. */
    private static SessionOutcome withVerdict(PendingCall call, SessionOutcome outcome) {
        return outcome.failure()
                .filter(failure -> call.mLostBefore && isRepeatable(call.mMessage))
                .filter(failure -> failure.verdict() == Verdict.NOT_RUN)
                .map(
                        failure ->
                                new Failure(
                                        failure.code(),
                                        Verdict.MAY_HAVE_RUN,
                                        failure.message(),
                                        failure.retryAfter()))
                .map(failure -> SessionOutcome.failed(failure, outcome.transactionFailed()))
                .orElse(outcome);
    }

    /** Lets a call wait for the next leaseholder of its group. */
    private void sendElsewhere(PendingCall call, long nowNanos) {
        call.mSentTo = Optional.empty();
        call.mExcludedEpoch = call.mMessage.epoch();
        call.mWaitingSinceNanos = nowNanos;
        send(call, nowNanos);
    }

    private void fail(PendingCall call, Failure failure) {
        finish(call, SessionOutcome.failed(failure, call.mMessage.step() != TransactionStep.NONE));
    }

    private void finish(PendingCall call, SessionOutcome outcome) {
        mCalls.remove(call.mMessage.id());
        mSessions.onEnded(call, outcome);
    }

    private void onViewChanged(PendingCall call, long nowNanos) {
        SessionCall message = call.mMessage;
        boolean superseded =
                call.mSentTo.isPresent()
                        && isRepeatable(message)
                        && leaseholder(message.group())
                                .filter(leaseholder -> leaseholder.epoch() > message.epoch())
                                .isPresent();
        if (superseded) {
            onLeaseholderLost(call, nowNanos);
        } else if (call.mSentTo.isEmpty()) {
            send(call, nowNanos);
        }
    }

    private Optional<Leaseholder> leaseholder(GroupId group) {
        return Optional.ofNullable(mSessions.state().groups().get(group))
                .flatMap(GroupRecord::leaseholder);
    }

    /** Fails or retries a call whose leaseholder is unreachable. */
    private void onLeaseholderLost(PendingCall call, long nowNanos) {
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
            call.mLostBefore = call.mMayHaveRun;
            sendElsewhere(call, nowNanos);
        }
    }

    private GroupService service(GroupId group, long nowNanos) {
        return mGroups.computeIfAbsent(group, g -> new GroupService(leaseholder(g), nowNanos));
    }

    private void checkTimeouts(PendingCall call, long nowNanos) {
        if (call.mSentTo.isEmpty()) {
            send(call, nowNanos);
        } else if (nowNanos - call.mDeadlineNanos >= 0) {
            boolean inTransaction = call.mMessage.step() != TransactionStep.NONE;
            fail(
                    call,
                    new Failure(
                            ErrorCode.TIMED_OUT,
                            Verdict.MAY_HAVE_RUN,
                            "the leaseholder did not answer in time",
                            Optional.empty()));
            if (inTransaction) {
                mSessions.endTransaction(call.mSession);
            }
        } else if (isRepeatable(call.mMessage)) {
            mWatch.evidence(call.mSentTo.get(), nowNanos)
                    .flatMap(e -> CallDecisions.failureOfSentRead(call.waiting(), e, nowNanos))
                    .ifPresent(failure -> fail(call, failure));
        }
    }

    /** Returns whether a call may run twice: a read outside of transactions. */
    private static boolean isRepeatable(SessionCall message) {
        return message.step() == TransactionStep.NONE && !message.writes();
    }
}
