package org.crocusturn.core.entryhosts;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.crocusturn.core.Decision;
import org.crocusturn.core.ErrorCode;
import org.crocusturn.core.Failure;
import org.crocusturn.core.GroupId;
import org.crocusturn.core.HostId;
import org.crocusturn.core.PersistentMap;
import org.crocusturn.core.Verdict;
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.callers.GroupAnswer;
import org.crocusturn.core.callers.GroupOperation;
import org.crocusturn.core.callers.GroupRequest;
import org.crocusturn.core.callers.KeyCheck;
import org.crocusturn.core.callers.Outcome;
import org.crocusturn.core.callers.SessionMark;
import org.crocusturn.core.callers.SessionToken;
import org.crocusturn.core.callers.TransactionId;
import org.crocusturn.core.controlhosts.ControlView;
import org.crocusturn.core.operators.ControlState;
import org.crocusturn.core.operators.GroupRecord;
import org.crocusturn.core.operators.Leaseholder;
import org.crocusturn.core.operators.Workspace;
import org.crocusturn.core.platform.Phase;

/**
 * Collects the next state and the actions of one step of {@link Ingress}.
 *
 * <p>Not thread-safe; an instance is confined to one call of {@link Ingress#step}.
 */
final class IngressStep {
    /** Time after the deadline for which the outcome of a running attempt is awaited. */
    private static final long GRACE_NANOS = 250_000_000;

    private final RetryPolicy mRetry;
    private final long mNow;
    private final HostId mHost;
    private final List<IngressAction> mActions = new ArrayList<>();
    private ControlView mView;
    private PersistentMap<Long, OpenRequest> mOpen;
    private PersistentMap<Long, Long> mAttempts;
    private PersistentMap<Long, Long> mWaiting;
    private long mNextAttempt;
    private long mEarliestNanos;
    Phase mPhase;

    IngressStep(RetryPolicy retry, IngressState state, long nowNanos) {
        mRetry = retry;
        mNow = nowNanos;
        mHost = state.mHost;
        mView = state.mView;
        mPhase = state.mPhase;
        mOpen = state.mOpen;
        mAttempts = state.mAttempts;
        mWaiting = state.mWaiting;
        mNextAttempt = state.mNextAttempt;
        mEarliestNanos = state.mEarliestNanos;
    }

    Decision<IngressState, IngressAction> decision() {
        return new Decision<>(
                new IngressState(
                        mHost,
                        mView,
                        mPhase,
                        mOpen,
                        mAttempts,
                        mWaiting,
                        mNextAttempt,
                        mEarliestNanos),
                mActions);
    }

    void take(CallerRequest request) {
        Optional<Failure> unavailable = unavailable();
        if (unavailable.isPresent()) {
            refuse(request, unavailable.get());
            return;
        }
        KeyCheck key = KeyCheck.of(mView.state(), request.keyHash());
        if (key.workspace().isEmpty()) {
            refuse(request, key.failure().orElseThrow());
            return;
        }
        WorkspaceId workspace = key.workspace().get();
        Optional<Failure> refusal = refusal(request, workspace);
        if (refusal.isPresent()) {
            refuse(request, refusal.get());
            return;
        }
        GroupId group = mView.state().groupOf(workspace, request.service()).orElseThrow();
        mEarliestNanos = Math.min(mEarliestNanos, request.deadlineNanos());
        attempt(OpenRequest.of(request, workspace, group, mNow));
    }

    private Optional<Failure> unavailable() {
        if (mPhase != Phase.SERVING && mPhase != Phase.LEAVING) {
            return Optional.of(
                    Failure.notRun(ErrorCode.UNAVAILABLE, "this host accepts no new requests"));
        }
        if (!mView.isFresh(mNow)) {
            return Optional.of(
                    Failure.notRun(
                            ErrorCode.UNAVAILABLE,
                            "this host has no current state from the control hosts"));
        }
        return mOpen.size() < Ingress.MAX_OPEN
                ? Optional.empty()
                : Optional.of(
                        Failure.notRun(
                                ErrorCode.OVERLOADED, "this host has too many open requests"));
    }

    private Optional<Failure> refusal(CallerRequest request, WorkspaceId workspace) {
        ControlState state = mView.state();
        Workspace declared = state.configuration().workspace(workspace).orElseThrow();
        if (state.configuration().service(request.service()).isEmpty()) {
            return refused(ErrorCode.NOT_FOUND, "the service does not exist");
        }
        if (!declared.services().contains(request.service())) {
            return refused(ErrorCode.FORBIDDEN, "the workspace may not use the service");
        }
        if (request.token().filter(t -> !t.workspace().equals(workspace)).isPresent()) {
            return refused(
                    ErrorCode.SESSION_INVALID, "the session token belongs to another workspace");
        }
        Optional<GroupId> group = state.groupOf(workspace, request.service());
        if (group.isEmpty()) {
            return refused(ErrorCode.UNAVAILABLE, "the workspace is not placed yet");
        }
        return transaction(request.operation()).flatMap(t -> transactionRefusal(t, group.get()));
    }

    private Optional<Failure> transactionRefusal(TransactionId transaction, GroupId group) {
        if (!transaction.group().equals(group)) {
            return refused(
                    ErrorCode.FORBIDDEN, "the transaction is not in the workspace's database");
        }
        GroupRecord record = mView.state().groups().get(group);
        return record != null && record.lastEpoch() > transaction.epoch()
                ? refused(ErrorCode.TRANSACTION_LOST, "the transaction is no longer open")
                : Optional.empty();
    }

    private static Optional<Failure> refused(ErrorCode code, String message) {
        return Optional.of(Failure.notRun(code, message));
    }

    private static Optional<TransactionId> transaction(GroupOperation operation) {
        if (operation instanceof GroupOperation.ExecuteInTransaction execute) {
            return Optional.of(execute.transaction());
        }
        if (operation instanceof GroupOperation.Commit commit) {
            return Optional.of(commit.transaction());
        }
        return operation instanceof GroupOperation.Rollback rollback
                ? Optional.of(rollback.transaction())
                : Optional.empty();
    }

    private void refuse(CallerRequest request, Failure failure) {
        mActions.add(
                new IngressAction.Answer(
                        request.id(), new Outcome.Failed(failure), Optional.empty()));
    }

    /** Sends a request to the leaseholder of its group, or schedules a retry if there is none. */
    private void attempt(OpenRequest open) {
        Optional<Leaseholder> holder =
                Optional.ofNullable(mView.state().groups().get(open.group()))
                        .flatMap(GroupRecord::leaseholder);
        if (holder.isEmpty() || !mView.isFresh(mNow)) {
            waitFor(open, false);
            return;
        }
        KeyCheck key = KeyCheck.of(mView.state(), open.request().keyHash());
        if (!key.workspace().equals(Optional.of(open.workspace()))) {
            fail(open, Failure.notRun(ErrorCode.KEY_REFUSED, "the key was withdrawn"));
            return;
        }
        long id = mNextAttempt++;
        OpenRequest sent = open.withAttempt(id, holder.get().host());
        CallerRequest request = open.request();
        mOpen = mOpen.with(request.id(), sent);
        mAttempts = mAttempts.with(id, request.id());
        mWaiting = mWaiting.without(request.id());
        send(sent, holder.get());
    }

    private void send(OpenRequest open, Leaseholder holder) {
        CallerRequest request = open.request();
        GroupRequest groupRequest =
                new GroupRequest(
                        open.attempt(),
                        open.workspace(),
                        open.group(),
                        request.operation(),
                        request.token().map(t -> t.mark(open.group())).orElse(SessionMark.NONE),
                        request.token().isPresent(),
                        Math.max(1, (request.deadlineNanos() - mNow) / 1_000_000));
        if (holder.host().equals(mHost)) {
            mActions.add(new IngressAction.HandLocal(groupRequest, holder.epoch()));
        } else {
            mActions.add(
                    new IngressAction.Forward(
                            holder.host(),
                            holder.linkAddress(),
                            new ForwardedRequest(groupRequest, holder.epoch())));
        }
    }

    private void waitFor(OpenRequest open, boolean unknown) {
        long until = mNow + mRetry.delay(Math.max(1, open.attempts())).toNanos();
        long id = open.request().id();
        mOpen = mOpen.with(id, open.withWait(until, unknown));
        mWaiting = mWaiting.with(id, until);
    }

    void replied(long attempt, Outcome outcome) {
        Long id = mAttempts.get(attempt);
        if (id == null) {
            return;
        }
        OpenRequest open = mOpen.get(id);
        mAttempts = mAttempts.without(attempt);
        if (outcome instanceof Outcome.Answered answered) {
            answer(open, answered.answer());
        } else if (outcome instanceof Outcome.Failed failed) {
            failed(open, failed.failure());
        }
    }

    private void answer(OpenRequest open, GroupAnswer answer) {
        SessionToken token =
                open.request()
                        .token()
                        .orElse(SessionToken.of(open.workspace()))
                        .withMark(open.group(), answer.mark());
        close(open, new Outcome.Answered(answer), Optional.of(token));
    }

    private void failed(OpenRequest open, Failure failure) {
        boolean passing =
                failure.code() == ErrorCode.MOVED || failure.code() == ErrorCode.UNAVAILABLE;
        boolean notRun = failure.verdict() == Verdict.NOT_RUN && passing;
        boolean unknown =
                failure.verdict() == Verdict.MAY_HAVE_RUN
                        && open.request().operation().idempotent();
        if ((notRun || unknown) && open.request().deadlineNanos() - mNow > 0) {
            mActions.add(
                    new IngressAction.Log(
                            open.request().id(), "attempt failed: " + failure.message()));
            waitFor(open, unknown);
        } else {
            fail(open, failure);
        }
    }

    /**
     * Answers with a failure. If an earlier attempt may have run, the verdict "not run" is replaced
     * by "may have run".
     */
    private void fail(OpenRequest open, Failure failure) {
        boolean unknown = open.mayHaveRun() && failure.verdict() == Verdict.NOT_RUN;
        Failure told = unknown ? Failure.mayHaveRun(failure.message()) : failure;
        close(open, new Outcome.Failed(told), Optional.empty());
    }

    private void close(OpenRequest open, Outcome outcome, Optional<SessionToken> token) {
        long id = open.request().id();
        mOpen = mOpen.without(id);
        mWaiting = mWaiting.without(id);
        mAttempts = mAttempts.without(open.attempt());
        mActions.add(new IngressAction.Answer(id, outcome, token));
    }

    void viewChanged(ControlView view) {
        boolean changed = view.state().version() != mView.state().version();
        mView = view;
        if (changed) {
            retryDue(Long.MAX_VALUE);
        }
    }

    void linkLost(HostId host) {
        for (OpenRequest open : mOpen.values().toList()) {
            if (open.target().equals(Optional.of(host))) {
                mAttempts = mAttempts.without(open.attempt());
                failed(
                        open,
                        Failure.mayHaveRun(
                                "the link to the host that holds the group's lease was lost"));
            }
        }
    }

    void tick() {
        retryDue(mNow);
        if (mEarliestNanos > mNow) {
            return;
        }
        mEarliestNanos = Long.MAX_VALUE;
        for (OpenRequest open : mOpen.values().toList()) {
            long grace = open.target().isPresent() ? GRACE_NANOS : 0;
            long deadline = open.request().deadlineNanos() + grace;
            if (deadline <= mNow) {
                expire(open);
            } else {
                mEarliestNanos = Math.min(mEarliestNanos, deadline);
            }
        }
    }

    private void expire(OpenRequest open) {
        fail(
                open,
                open.target().isPresent()
                        ? Failure.mayHaveRun("no answer arrived before the deadline")
                        : Failure.notRun(
                                ErrorCode.UNAVAILABLE,
                                "no host held the group's lease before the deadline"));
    }

    private void retryDue(long untilNanos) {
        mWaiting.entries()
                .filter(e -> e.value() <= untilNanos)
                .map(PersistentMap.Entry::key)
                .toList()
                .forEach(id -> attempt(mOpen.get(id)));
    }
}
