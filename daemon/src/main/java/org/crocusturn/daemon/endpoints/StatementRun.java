package org.crocusturn.daemon.endpoints;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.HostId;
import org.crocusturn.core.LogPosition;
import org.crocusturn.core.callers.PreparedShape;
import org.crocusturn.core.callers.StatementKind;
import org.crocusturn.core.callers.TransactionStep;
import org.crocusturn.core.endpoints.ConnectionLoss;
import org.crocusturn.core.endpoints.RetryDecision;
import org.crocusturn.core.endpoints.SessionCommand;
import org.crocusturn.core.endpoints.SessionResult;
import org.crocusturn.core.entryhosts.SessionCall;

/**
 * Takes one call through a connection: session values and prepared statements first, then the begin
 * of a transaction, then the statement itself. Each waits for the answers before it, so that a
 * statement never runs with values or in a transaction that it should not.
 */
final class StatementRun implements SessionTask {
    /** Share of a call's time for which it may wait; a refusal must leave time for a retry. */
    private static final int WAIT_DIVISOR = 2;

    /** Time for a token to come: a report to the control leader is answered within 10 ms. */
    private static final long TOKEN_WAIT_NANOS = Duration.ofMillis(80).toNanos();

    private final HeldGroup mGroup;
    private final HostId mOrigin;
    private final SessionCall mCall;
    private final long mArrivedNanos;
    private final long mDeadlineNanos;
    private final Set<EndpointId> mAvoided = new HashSet<>();
    private Stage mStage = Stage.WAITING;
    private CopyPool mCopy;
    private PooledSession mSession;
    private Optional<OpenTransaction> mTransaction = Optional.empty();
    private LogPosition mNeeded = LogPosition.ZERO;
    private long mNotBeforeNanos;
    private boolean mPaid;
    private boolean mWaitsForToken;
    private boolean mResting;
    private int mAttempts;
    private int mPending;

    /** Is the progress of a run. */
    enum Stage {
        WAITING,
        OPENING,
        ALIGNING,
        BEGINNING,
        RUNNING,
        ENDED
    }

    StatementRun(HeldGroup group, HostId origin, SessionCall call, long nowNanos) {
        mGroup = group;
        mOrigin = origin;
        mCall = call;
        mArrivedNanos = nowNanos;
        mDeadlineNanos = nowNanos + Duration.ofMillis(call.options().remainingMillis()).toNanos();
        mNotBeforeNanos = nowNanos;
    }

    HostId origin() {
        return mOrigin;
    }

    SessionCall call() {
        return mCall;
    }

    Stage stage() {
        return mStage;
    }

    CopyPool copy() {
        return mCopy;
    }

    /** Chooses the copy for the next start. */
    void setCopy(CopyPool copy) {
        mCopy = copy;
    }

    PooledSession session() {
        return mSession;
    }

    Optional<OpenTransaction> transaction() {
        return mTransaction;
    }

    LogPosition needed() {
        return mNeeded;
    }

    long arrivedNanos() {
        return mArrivedNanos;
    }

    long deadlineNanos() {
        return mDeadlineNanos;
    }

    /** Returns the time after which a call that has not started is refused. */
    long waitUntilNanos() {
        long half = mArrivedNanos + (mDeadlineNanos - mArrivedNanos) / WAIT_DIVISOR;
        return mWaitsForToken ? Math.min(half, mArrivedNanos + TOKEN_WAIT_NANOS) : half;
    }

    /** Notes whether a rate token was left when the call arrived. */
    void setTokenLeft(boolean tokenLeft) {
        mWaitsForToken = !tokenLeft;
    }

    /** Lets the statement rest on its connection before it is sent again. */
    void rest(long untilNanos) {
        mResting = true;
        mNotBeforeNanos = untilNanos;
    }

    boolean isResting() {
        return mResting;
    }

    boolean isDue(long nowNanos) {
        return nowNanos - mNotBeforeNanos >= 0;
    }

    boolean isPaid() {
        return mPaid;
    }

    void setPaid() {
        mPaid = true;
    }

    int attempts() {
        return mAttempts;
    }

    boolean avoids(EndpointId endpoint) {
        return mAvoided.contains(endpoint);
    }

    /** Notes that the run failed on its copy without having run and goes back to the queue. */
    void backToQueue(long notBeforeNanos, boolean avoidCopy) {
        if (avoidCopy) {
            mAvoided.add(mCopy.record().id());
        }
        if (mAvoided.size() >= mGroup.copies()) {
            mAvoided.clear();
        }
        mAttempts++;
        mStage = Stage.WAITING;
        mNotBeforeNanos = notBeforeNanos;
    }

    void end() {
        mStage = Stage.ENDED;
    }

    RetryDecision.RetryClass nature() {
        if (mCall.statement().kind() == StatementKind.COMMIT) {
            boolean wrote = mTransaction.filter(OpenTransaction::wrote).isPresent();
            return wrote
                    ? RetryDecision.RetryClass.COMMIT
                    : RetryDecision.RetryClass.READ_ONLY_COMMIT;
        }
        if (mCall.step() != TransactionStep.NONE) {
            return RetryDecision.RetryClass.IN_TRANSACTION;
        }
        return mCall.writes() ? RetryDecision.RetryClass.WRITE : RetryDecision.RetryClass.READ;
    }

    /** Starts on a connection that may still be opening. */
    void start(PooledSession session) {
        mSession = session;
        mCopy = session.copy();
        mCopy.started();
        mStage = Stage.OPENING;
        if (session.isOpen()) {
            align();
        }
    }

    /** Continues an open transaction. */
    void start(OpenTransaction transaction) {
        mTransaction = Optional.of(transaction);
        start(transaction.session());
    }

    /** Sends the statement once more after an error that left the transaction open. */
    void again() {
        mAttempts++;
        mResting = false;
        if (mStage == Stage.RUNNING) {
            mSession.forgetPrepared(shape());
            align();
        }
    }

    @Override
    public void opened(PooledSession session) {
        align();
    }

    private void align() {
        List<SessionCommand> commands = mSession.align(mCall.values(), shape());
        mStage = Stage.ALIGNING;
        mPending = commands.size();
        commands.forEach(mSession::send);
        if (mPending == 0) {
            begin();
        }
    }

    private Optional<PreparedShape> shape() {
        return mCall.statement().kind() == StatementKind.EXECUTE
                ? mCall.prepared()
                : Optional.empty();
    }

    private void begin() {
        // The lease is checked last, because a suspension may have come before any earlier check.
        if (!mGroup.leaseValid()) {
            mGroup.notRun(this, "the lease is not valid");
            return;
        }
        boolean begins =
                mTransaction.isEmpty()
                        && (mCall.step() == TransactionStep.BEGIN
                                || mCall.step() == TransactionStep.BEGIN_READ_ONLY);
        if (begins) {
            mStage = Stage.BEGINNING;
            boolean readOnly = mCall.step() == TransactionStep.BEGIN_READ_ONLY;
            mSession.send(new SessionCommand.Begin(readOnly, readOnly ? need() : Optional.empty()));
        } else {
            run();
        }
    }

    private Optional<LogPosition> need() {
        mNeeded = mGroup.neededBy(mCall);
        return mNeeded.equals(LogPosition.ZERO) ? Optional.empty() : Optional.of(mNeeded);
    }

    private void run() {
        mStage = Stage.RUNNING;
        boolean freeRead = mCall.step() == TransactionStep.NONE && !mCall.writes();
        mSession.send(
                new SessionCommand.Run(
                        mCall.statement(),
                        mSession.preparedName(shape()),
                        freeRead ? need() : Optional.empty()));
    }

    @Override
    public void result(PooledSession session, SessionResult result) {
        switch (mStage) {
            case ALIGNING -> aligned(result);
            case BEGINNING -> begun(result);
            case RUNNING -> mGroup.answered(this, result);
            default -> mGroup.unexpected(session);
        }
    }

    private void aligned(SessionResult result) {
        if (result.error().isPresent()) {
            mGroup.notAligned(this, result.text());
        } else if (--mPending == 0) {
            begin();
        }
    }

    private void begun(SessionResult result) {
        if (result.error().isPresent()) {
            mGroup.notBegun(this, result);
            return;
        }
        mTransaction = Optional.of(mGroup.begun(this));
        if (mGroup.leaseValid()) {
            run();
        } else {
            mGroup.notRun(this, "the lease is not valid");
        }
    }

    @Override
    public void lost(PooledSession session, ConnectionLoss loss, String text) {
        mGroup.lost(this, loss);
    }

    /** Returns what a log line says of the run. */
    @Override
    public String toString() {
        return "call "
                + mCall.id()
                + " of "
                + mOrigin
                + " statement "
                + mCall.statement().id()
                + " of "
                + mCall.group()
                + " for "
                + mCall.workspace()
                + " in stage "
                + mStage
                + " after "
                + mAttempts
                + " retries";
    }
}
