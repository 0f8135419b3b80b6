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
    private static final long ATTEMPT_GRACE_NANOS = 250_000_000;

    private final RetryPolicy mRetry;
    private final long mNowNanos;
    private final HostId mHost;
    private final List<IngressAction> mActions = new ArrayList<>();
    private ControlView mView;
    private PersistentMap<Long, OpenRequest> mOpenRequests;
    private PersistentMap<Long, Long> mRequestsByAttempt;
    private PersistentMap<Long, Long> mRetryTimes;
    private long mNextAttempt;
    private long mEarliestDeadlineNanos;
    Phase mPhase;

    IngressStep(RetryPolicy retry, IngressState state, long nowNanos) {
        mRetry = retry;
        mNowNanos = nowNanos;
        mHost = state.mHost;
        mView = state.mView;
        mPhase = state.mPhase;
        mOpenRequests = state.mOpenRequests;
        mRequestsByAttempt = state.mRequestsByAttempt;
        mRetryTimes = state.mRetryTimes;
        mNextAttempt = state.mNextAttempt;
        mEarliestDeadlineNanos = state.mEarliestDeadlineNanos;
    }

    Decision<IngressState, IngressAction> decision() {
        return new Decision<>(
                new IngressState(
                        mHost,
                        mView,
                        mPhase,
                        mOpenRequests,
                        mRequestsByAttempt,
                        mRetryTimes,
                        mNextAttempt,
                        mEarliestDeadlineNanos),
                mActions);
    }

    void accept(CallerRequest request) {
        Optional<Failure> admissionFailure = admissionFailure();
        if (admissionFailure.isPresent()) {
            reject(request, admissionFailure.get());
            return;
        }
        KeyCheck key = KeyCheck.of(mView.state(), request.keyHash());
        if (key.workspace().isEmpty()) {
            reject(request, key.failure().orElseThrow());
            return;
        }
        WorkspaceId workspace = key.workspace().get();
        Optional<Failure> rejection = rejection(request, workspace);
        if (rejection.isPresent()) {
            reject(request, rejection.get());
            return;
        }
        GroupId group = mView.state().groupOf(workspace, request.service()).orElseThrow();
        mEarliestDeadlineNanos = Math.min(mEarliestDeadlineNanos, request.deadlineNanos());
        attempt(OpenRequest.of(request, workspace, group, mNowNanos));
    }

    private Optional<Failure> admissionFailure() {
        if (mPhase != Phase.SERVING && mPhase != Phase.LEAVING) {
            return Optional.of(
                    Failure.notRun(ErrorCode.UNAVAILABLE, "this host accepts no new requests"));
        }
        if (!mView.isFresh(mNowNanos)) {
            return Optional.of(
                    Failure.notRun(
                            ErrorCode.UNAVAILABLE,
                            "this host has no current state from the control hosts"));
        }
        return mOpenRequests.size() < Ingress.MAX_OPEN_REQUESTS
                ? Optional.empty()
                : Optional.of(
                        Failure.notRun(
                                ErrorCode.OVERLOADED, "this host has too many open requests"));
    }

    private Optional<Failure> rejection(CallerRequest request, WorkspaceId workspace) {
        ControlState state = mView.state();
        Workspace declared = state.configuration().workspace(workspace).orElseThrow();
        if (state.configuration().service(request.service()).isEmpty()) {
            return rejected(ErrorCode.NOT_FOUND, "the service does not exist");
        }
        if (!declared.services().contains(request.service())) {
            return rejected(ErrorCode.FORBIDDEN, "the workspace may not use the service");
        }
        if (request.token().filter(t -> !t.workspace().equals(workspace)).isPresent()) {
            return rejected(
                    ErrorCode.SESSION_INVALID, "the session token belongs to another workspace");
        }
        Optional<GroupId> group = state.groupOf(workspace, request.service());
        if (group.isEmpty()) {
            return rejected(ErrorCode.UNAVAILABLE, "the workspace is not placed yet");
        }
        return transaction(request.operation()).flatMap(t -> transactionRejection(t, group.get()));
    }

    private Optional<Failure> transactionRejection(TransactionId transaction, GroupId group) {
        if (!transaction.group().equals(group)) {
            return rejected(
                    ErrorCode.FORBIDDEN, "the transaction is not in the workspace's database");
        }
        GroupRecord record = mView.state().groups().get(group);
        return record != null && record.lastEpoch() > transaction.epoch()
                ? rejected(ErrorCode.TRANSACTION_LOST, "the transaction is no longer open")
                : Optional.empty();
    }

    private static Optional<Failure> rejected(ErrorCode code, String message) {
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

    private void reject(CallerRequest request, Failure failure) {
        mActions.add(
                new IngressAction.Answer(
                        request.id(), new Outcome.Failed(failure), Optional.empty()));
    }

    /** Sends a request to the leaseholder of its group, or schedules a retry if there is none. */
    private void attempt(OpenRequest open) {
        Optional<Leaseholder> holder =
                Optional.ofNullable(mView.state().groups().get(open.group()))
                        .flatMap(GroupRecord::leaseholder);
        if (holder.isEmpty() || !mView.isFresh(mNowNanos)) {
            scheduleRetry(open, false);
            return;
        }
        KeyCheck key = KeyCheck.of(mView.state(), open.request().keyHash());
        if (!key.workspace().equals(Optional.of(open.workspace()))) {
            completeWithFailure(
                    open, Failure.notRun(ErrorCode.KEY_REFUSED, "the key was withdrawn"));
            return;
        }
        long id = mNextAttempt++;
        OpenRequest sent = open.withAttempt(id, holder.get().host());
        CallerRequest request = open.request();
        mOpenRequests = mOpenRequests.with(request.id(), sent);
        mRequestsByAttempt = mRequestsByAttempt.with(id, request.id());
        mRetryTimes = mRetryTimes.without(request.id());
        send(sent, holder.get());
    }

    private void send(OpenRequest open, Leaseholder holder) {
        CallerRequest request = open.request();
        GroupRequest groupRequest =
                new GroupRequest(
                        open.attemptId(),
                        open.workspace(),
                        open.group(),
                        request.operation(),
                        request.token().map(t -> t.mark(open.group())).orElse(SessionMark.NONE),
                        request.token().isPresent(),
                        Math.max(1, (request.deadlineNanos() - mNowNanos) / 1_000_000));
        if (holder.host().equals(mHost)) {
            mActions.add(new IngressAction.HandleLocally(groupRequest, holder.epoch()));
        } else {
            mActions.add(
                    new IngressAction.Forward(
                            holder.host(),
                            holder.linkAddress(),
                            new ForwardedRequest(groupRequest, holder.epoch())));
        }
    }

    private void scheduleRetry(OpenRequest open, boolean outcomeUnknown) {
        long until = mNowNanos + mRetry.delay(Math.max(1, open.attempts())).toNanos();
        long id = open.request().id();
        mOpenRequests = mOpenRequests.with(id, open.withRetryAt(until, outcomeUnknown));
        mRetryTimes = mRetryTimes.with(id, until);
    }

    void handleReply(long attempt, Outcome outcome) {
        Long id = mRequestsByAttempt.get(attempt);
        if (id == null) {
            return;
        }
        OpenRequest open = mOpenRequests.get(id);
        mRequestsByAttempt = mRequestsByAttempt.without(attempt);
        if (outcome instanceof Outcome.Answered answered) {
            completeWithAnswer(open, answered.answer());
        } else if (outcome instanceof Outcome.Failed failed) {
            handleFailure(open, failed.failure());
        }
    }

    private void completeWithAnswer(OpenRequest open, GroupAnswer answer) {
        SessionToken token =
                open.request()
                        .token()
                        .orElse(SessionToken.of(open.workspace()))
                        .withMark(open.group(), answer.mark());
        complete(open, new Outcome.Answered(answer), Optional.of(token));
    }

    private void handleFailure(OpenRequest open, Failure failure) {
        boolean transientCode =
                failure.code() == ErrorCode.MOVED || failure.code() == ErrorCode.UNAVAILABLE;
        boolean notRun = failure.verdict() == Verdict.NOT_RUN && transientCode;
        boolean outcomeUnknown =
                failure.verdict() == Verdict.MAY_HAVE_RUN
                        && open.request().operation().idempotent();
        if ((notRun || outcomeUnknown) && open.request().deadlineNanos() - mNowNanos > 0) {
            mActions.add(
                    new IngressAction.Log(
                            open.request().id(), "attempt failed: " + failure.message()));
            scheduleRetry(open, outcomeUnknown);
        } else {
            completeWithFailure(open, failure);
        }
    }

    /**
     * Answers with a failure. If an earlier attempt may have run, the verdict "not run" is replaced
     * by "may have run".
     */
    private void completeWithFailure(OpenRequest open, Failure failure) {
        boolean outcomeUnknown = open.mayHaveRun() && failure.verdict() == Verdict.NOT_RUN;
        Failure reported = outcomeUnknown ? Failure.mayHaveRun(failure.message()) : failure;
        complete(open, new Outcome.Failed(reported), Optional.empty());
    }

    private void complete(OpenRequest open, Outcome outcome, Optional<SessionToken> token) {
        long id = open.request().id();
        mOpenRequests = mOpenRequests.without(id);
        mRetryTimes = mRetryTimes.without(id);
        mRequestsByAttempt = mRequestsByAttempt.without(open.attemptId());
        mActions.add(new IngressAction.Answer(id, outcome, token));
    }

    void handleViewChanged(ControlView view) {
        boolean changed = view.state().version() != mView.state().version();
        mView = view;
        if (changed) {
            retryDue(Long.MAX_VALUE);
        }
    }

    void handleLinkLost(HostId host) {
        for (OpenRequest open : mOpenRequests.values().toList()) {
            if (open.target().equals(Optional.of(host))) {
                mRequestsByAttempt = mRequestsByAttempt.without(open.attemptId());
                handleFailure(
                        open,
                        Failure.mayHaveRun(
                                "the link to the host that holds the group's lease was lost"));
            }
        }
    }

    void handleTick() {
        retryDue(mNowNanos);
        if (mEarliestDeadlineNanos > mNowNanos) {
            return;
        }
        mEarliestDeadlineNanos = Long.MAX_VALUE;
        for (OpenRequest open : mOpenRequests.values().toList()) {
            long grace = open.target().isPresent() ? ATTEMPT_GRACE_NANOS : 0;
            long deadline = open.request().deadlineNanos() + grace;
            if (deadline <= mNowNanos) {
                expire(open);
            } else {
                mEarliestDeadlineNanos = Math.min(mEarliestDeadlineNanos, deadline);
            }
        }
    }

    private void expire(OpenRequest open) {
        completeWithFailure(
                open,
                open.target().isPresent()
                        ? Failure.mayHaveRun("no answer arrived before the deadline")
                        : Failure.notRun(
                                ErrorCode.UNAVAILABLE,
                                "no host held the group's lease before the deadline"));
    }

    private void retryDue(long untilNanos) {
        mRetryTimes
                .entries()
                .filter(e -> e.value() <= untilNanos)
                .map(PersistentMap.Entry::key)
                .toList()
                .forEach(id -> attempt(mOpenRequests.get(id)));
    }
}
