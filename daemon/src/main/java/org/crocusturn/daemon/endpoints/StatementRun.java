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
import org.crocusturn.core.endpoints.EndpointError;
import org.crocusturn.core.endpoints.RetryDecision;
import org.crocusturn.core.endpoints.SessionCommand;
import org.crocusturn.core.endpoints.SessionResult;
import org.crocusturn.core.entryhosts.SessionCall;

/**
 * Executes one call on a connection: sets session values and prepared statements, then begins a
 * transaction if the call asks for one, then sends the statement.
 *
 * <p>Each step waits for the results of the previous one, so that a statement never runs with the
 * session values or in the transaction of another call.
 */
final class StatementRun implements SessionTask {
    /** Reason for refusing the statement of a session that has ended its work. */
    static final String ABANDONED = "its session has ended its work";

    /** A call may be queued for this fraction of its time; a refusal must leave time to retry. */
    private static final int QUEUE_TIME_DIVISOR = 2;

    /** Attempts for one call. Only reads and statements that have not run are retried. */
    private static final int MAX_ATTEMPTS = 8;

    private final LeasedGroup mGroup;
    private final HostId mOrigin;
    private final SessionCall mCall;
    private final long mArrivedNanos;
    private final long mDeadlineNanos;
    private final Set<EndpointId> mExcludedEndpoints = new HashSet<>();
    private Stage mStage = Stage.WAITING;
    private CopyPool mCopy;
    private PooledSession mSession;
    private Optional<OpenTransaction> mTransaction = Optional.empty();
    private LogPosition mRequiredPosition = LogPosition.ZERO;
    private long mNotBeforeNanos;
    private boolean mTokenTaken;
    private Optional<Long> mTokenWaitNanos = Optional.empty();
    private boolean mBackingOff;
    private boolean mAbandoned;
    private int mAttempts;
    private List<SessionCommand> mPendingSetup = List.of();
    private Stage mStageAfterSetup = Stage.RUNNING;
    private boolean mValuesUncertain;
    private Optional<Long> mGiveUpNanos = Optional.empty();
    private long mSlotNanos;
    private boolean mSent;
    private Optional<Long> mOpenedNanos = Optional.empty();
    private boolean mOutcomePending;
    private long mUsageWindow;

    /** Error that the statement may have ended with, or an earlier one. */
    private Optional<EndpointError> mUncertainError = Optional.empty();

    /** Progress of a run. */
    enum Stage {
        WAITING,
        OPENING,
        ALIGNING,
        CONFIRMING_VALUES,
        ENDING_CONFIRMATION,
        BEGINNING,
        RUNNING,
        ENDED
    }

    StatementRun(LeasedGroup group, HostId origin, SessionCall call, long nowNanos) {
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

    /** Sets the copy for the next attempt. */
    void setCopy(CopyPool copy) {
        mCopy = copy;
    }

    PooledSession session() {
        return mSession;
    }

    Optional<OpenTransaction> transaction() {
        return mTransaction;
    }

    LogPosition requiredPosition() {
        return mRequiredPosition;
    }

    long arrivedNanos() {
        return mArrivedNanos;
    }

    long deadlineNanos() {
        return mDeadlineNanos;
    }

    /** Returns the time after which a call that has not started is refused. */
    long waitUntilNanos() {
        long half = mArrivedNanos + (mDeadlineNanos - mArrivedNanos) / QUEUE_TIME_DIVISOR;
        return mTokenWaitNanos.map(wait -> Math.min(half, mArrivedNanos + wait)).orElse(half);
    }

    /** Limits the time for which the call waits; empty if a rate token was available. */
    void setTokenWaitNanos(Optional<Long> nanos) {
        mTokenWaitNanos = nanos;
    }

    /** Delays the next attempt of the statement on the same connection. */
    void backOff(long untilNanos) {
        mBackingOff = true;
        mNotBeforeNanos = untilNanos;
    }

    boolean isBackingOff() {
        return mBackingOff;
    }

    boolean isDue(long nowNanos) {
        return nowNanos - mNotBeforeNanos >= 0;
    }

    boolean isTokenTaken() {
        return mTokenTaken;
    }

    void setTokenTaken() {
        mTokenTaken = true;
    }

    /** Prevents the run from sending its statement, because its session has ended its work. */
    void abandon() {
        mAbandoned = true;
    }

    boolean isAbandoned() {
        return mAbandoned;
    }

    /** Returns whether the run has a connection and no command on it is outstanding. */
    boolean isWaiting() {
        return mStage == Stage.OPENING || mBackingOff;
    }

    int attempts() {
        return mAttempts;
    }

    boolean mayRetry(long nowNanos) {
        return mAttempts < MAX_ATTEMPTS && mDeadlineNanos - nowNanos > 0 && mStage != Stage.ENDED;
    }

    boolean excludes(EndpointId endpoint) {
        return mExcludedEndpoints.contains(endpoint);
    }

    /** Records a failed attempt that may be repeated and resets the run for the queue. */
    void resetForQueue(long notBeforeNanos, boolean excludeCopy) {
        if (excludeCopy) {
            mExcludedEndpoints.add(mCopy.record().id());
        }
        if (mExcludedEndpoints.size() >= mGroup.copyCount()) {
            mExcludedEndpoints.clear();
        }
        mAttempts++;
        // The transaction of the failed attempt was rolled back with its connection.
        mTransaction = Optional.empty();
        mGiveUpNanos = Optional.empty();
        mStage = Stage.WAITING;
        mNotBeforeNanos = notBeforeNanos;
    }

    /** Returns the time that opening the run's connection took, if it was opened for it. */
    Optional<Long> handshakeNanos() {
        return mOpenedNanos.map(opened -> opened - mSlotNanos);
    }

    /** Returns whether the statement was sent in the current attempt. */
    boolean isSent() {
        return mSent;
    }

    /** Returns how long the run has occupied its slot since its connection was open. */
    long serviceNanos(long nowNanos) {
        return nowNanos - mOpenedNanos.orElse(mSlotNanos);
    }

    void end() {
        mStage = Stage.ENDED;
    }

    RetryDecision.RetryClass retryClass() {
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

    /** Starts on a connection, which may still be opening. */
    void start(PooledSession session) {
        mSession = session;
        mCopy = session.copy();
        mCopy.statementStarted();
        mSlotNanos = mGroup.nowNanos();
        mSent = false;
        mOpenedNanos = Optional.empty();
        mStage = Stage.OPENING;
        if (session.isOpen()) {
            setUpConnection();
        }
    }

    /** Continues an open transaction. */
    void start(OpenTransaction transaction) {
        mTransaction = Optional.of(transaction);
        start(transaction.session());
    }

    /** Repeats the statement on the same connection after a backoff. */
    void retryOnSameConnection() {
        mAttempts++;
        mBackingOff = false;
        if (mStage == Stage.RUNNING) {
            mSession.forgetPrepared(shape());
            setUpConnection();
        }
    }

    @Override
    public void onOpened(PooledSession session) {
        mOpenedNanos = Optional.of(mGroup.nowNanos());
        setUpConnection();
    }

    /**
     * Sends all commands that have to succeed before the statement is sent. Their answers arrive in
     * order, and one that is certain shows that all before it have arrived.
     */
    private void setUpConnection() {
        // Checked as late as possible: the process may have been suspended after an earlier check.
        if (!mayContinue()) {
            return;
        }
        boolean begins = mTransaction.isEmpty() && mCall.step().begins();
        boolean confirms =
                mCall.step() == TransactionStep.NONE
                        && mSession.needsConfirmation(mCall.values(), mCopy.progress().position());
        mStage = Stage.ALIGNING;
        mValuesUncertain = false;
        mPendingSetup = mSession.setupCommands(mCall.values(), shape());
        mPendingSetup.forEach(mSession::send);
        if (begins) {
            boolean readOnly = mCall.step() == TransactionStep.BEGIN_READ_ONLY;
            mSession.send(
                    new SessionCommand.Begin(
                            readOnly, readOnly ? resolveRequiredPosition() : Optional.empty()));
        } else if (confirms) {
            // The state in the answer to BEGIN differs from that in all answers before it.
            mSession.send(new SessionCommand.Begin(true, Optional.empty()));
            mSession.send(new SessionCommand.Rollback());
        }
        mStageAfterSetup = stageAfterSetup(begins, confirms);
        continueAfterSetup();
    }

    private static Stage stageAfterSetup(boolean begins, boolean confirms) {
        if (begins) {
            return Stage.BEGINNING;
        }
        return confirms ? Stage.CONFIRMING_VALUES : Stage.RUNNING;
    }

    private void continueAfterSetup() {
        if (!mPendingSetup.isEmpty()) {
            return;
        }
        mStage = mStageAfterSetup;
        if (mStage == Stage.RUNNING) {
            sendStatement();
        }
    }

    private Optional<PreparedShape> shape() {
        return mCall.statement().kind() == StatementKind.EXECUTE
                ? mCall.prepared()
                : Optional.empty();
    }

    /** Returns whether the statement may still be sent; otherwise ends the run. */
    private boolean mayContinue() {
        if (!mGroup.leaseValid()) {
            mGroup.abortUnsent(this, "the lease is not valid");
            return false;
        }
        if (mAbandoned) {
            mGroup.abortUnsent(this, ABANDONED);
            return false;
        }
        return true;
    }

    private Optional<LogPosition> resolveRequiredPosition() {
        mRequiredPosition = mGroup.requiredPosition(mCall);
        return mRequiredPosition.equals(LogPosition.ZERO)
                ? Optional.empty()
                : Optional.of(mRequiredPosition);
    }

    private void sendStatement() {
        if (!mayContinue()) {
            return;
        }
        mStage = Stage.RUNNING;
        mOutcomePending = true;
        mUsageWindow = mGroup.usage().currentWindow();
        mUncertainError = Optional.empty();
        mSent = true;
        boolean readOutsideTransaction = mCall.step() == TransactionStep.NONE && !mCall.writes();
        mSession.send(
                new SessionCommand.Run(
                        mCall.statement(),
                        mSession.preparedName(shape()),
                        readOutsideTransaction ? resolveRequiredPosition() : Optional.empty()));
    }

    @Override
    public void onResult(PooledSession session, SessionResult result) {
        if (result.certain()) {
            mGroup.recordPosition(mCopy, result);
        }
        switch (mStage) {
            case ALIGNING -> onSetupResult(result);
            case CONFIRMING_VALUES -> onValuesConfirmed(result);
            case ENDING_CONFIRMATION -> onConfirmationEnded(result);
            case BEGINNING -> onTransactionStarted(result);
            case RUNNING -> onStatementResult(result);
            default -> mGroup.onUnexpectedResult(session);
        }
    }

    private void onSetupResult(SessionResult result) {
        if (result.error().isPresent()) {
            mGroup.failures().onSetupFailed(this, result.text());
            return;
        }
        // A prepared statement needs no certain answer: its name is used once, so that a statement
        // that was not prepared is refused.
        mValuesUncertain |=
                !result.certain() && !(mPendingSetup.get(0) instanceof SessionCommand.Prepare);
        mPendingSetup = mPendingSetup.subList(1, mPendingSetup.size());
        if (mValuesUncertain
                && mStageAfterSetup == Stage.RUNNING
                && mCall.step() == TransactionStep.NONE) {
            mGroup.failures().onUncertainSetup(this, "its session values may not be set");
        } else {
            continueAfterSetup();
        }
    }

    private void onValuesConfirmed(SessionResult result) {
        if (result.error().isPresent() || !result.certain()) {
            mGroup.failures().onUncertainSetup(this, "its session values may not be set");
            return;
        }
        mValuesUncertain = false;
        mStage = Stage.ENDING_CONFIRMATION;
    }

    private void onConfirmationEnded(SessionResult result) {
        if (result.error().isPresent()) {
            mGroup.failures().onSetupFailed(this, result.text());
        } else {
            sendStatement();
        }
    }

    private void onTransactionStarted(SessionResult result) {
        if (!result.certain()) {
            mGroup.failures().onUncertainSetup(this, "its transaction may not have begun");
            return;
        }
        if (result.error().isPresent()) {
            mGroup.onBeginFailed(this, result);
            return;
        }
        mValuesUncertain = false;
        mTransaction = Optional.of(mGroup.registerTransaction(this));
        sendStatement();
    }

    private void onStatementResult(SessionResult result) {
        if (result.certain()) {
            mGiveUpNanos = Optional.empty();
            recordOutcome(result.error());
            mGroup.onStatementResult(this, result);
            return;
        }
        mUncertainError = result.error();
        if (mGiveUpNanos.isEmpty()) {
            mGroup.failures().onUncertainError(this, result);
        }
    }

    /** Meters a statement that was sent, unless its outcome is already known. */
    private void recordOutcome(Optional<EndpointError> error) {
        if (mOutcomePending) {
            mOutcomePending = false;
            mGroup.usage().record(mCall, mUsageWindow, error);
        }
    }

    /**
     * Meters a statement that was sent and gets no certain answer. An uncertain error is taken for
     * its own: endpoints often give the same error twice and rarely repeat an answer.
     */
    void recordUnknownOutcome() {
        recordOutcome(mUncertainError);
    }

    /** Waits for a certain answer after an error that may be that of an earlier statement. */
    void awaitCertainAnswer(long untilNanos) {
        mGiveUpNanos = Optional.of(untilNanos);
    }

    /** Returns whether no certain answer has followed an uncertain error in time. */
    boolean isAnswerOverdue(long nowNanos) {
        return mGiveUpNanos.filter(until -> nowNanos - until >= 0).isPresent();
    }

    boolean areValuesUncertain() {
        return mValuesUncertain;
    }

    @Override
    public void onLost(PooledSession session, ConnectionLoss loss, String text) {
        mGroup.failures().onConnectionLost(this, loss);
    }

    /** Returns a description for log lines. */
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
