package org.crocusturn.daemon.callers;

import java.util.Locale;
import java.util.Optional;
import org.crocusturn.core.Failure;
import org.crocusturn.core.Verdict;
import org.crocusturn.core.callers.SessionOutcome;
import org.crocusturn.core.callers.TransactionStep;
import org.crocusturn.core.entryhosts.SessionCall;
import org.crocusturn.core.entryhosts.WaitingCall;
import org.crocusturn.core.operators.Leaseholder;
import org.crocusturn.core.ring.SteadyClock;
import org.crocusturn.daemon.platform.Metrics;

/**
 * Statement that was sent to a leaseholder or waits for one.
 *
 * <p>Not thread-safe: used only by the thread of {@link SessionsDuty}.
 */
final class PendingCall {
    private static final double NANOS_PER_SECOND = 1e9;

    final CallerSession mSession;
    final long mStartNanos;
    final long mDeadlineNanos;
    final long mTargetNanos;
    SessionCall mMessage;
    Optional<Leaseholder> mSentTo = Optional.empty();
    long mExcludedEpoch;

    /** Time from which the call counts as waiting for a leaseholder. */
    long mWaitingSinceNanos;

    /**
     * Whether a leaseholder may have received the call and has not answered that it did not run.
     */
    boolean mMayHaveRun;

    /** Whether an earlier leaseholder, which was lost, may have run the call. */
    boolean mLostBefore;

    PendingCall(
            CallerSession session,
            SessionCall message,
            long startNanos,
            long deadlineNanos,
            long targetNanos) {
        mSession = session;
        mMessage = message;
        mStartNanos = startNanos;
        mDeadlineNanos = deadlineNanos;
        mTargetNanos = targetNanos;
        mWaitingSinceNanos = startNanos;
    }

    /**
     * Returns what decides how long the call may wait for a leaseholder. The first statement of a
     * transaction counts as not sent: a leaseholder that loses the link rolls it back.
     */
    WaitingCall waiting() {
        return new WaitingCall(
                mMessage.session(),
                mMessage.options().priority(),
                mTargetNanos,
                mDeadlineNanos - mStartNanos,
                mWaitingSinceNanos,
                mMayHaveRun && mMessage.step() == TransactionStep.NONE,
                mExcludedEpoch);
    }

    void recordOutcome(Metrics metrics, SessionOutcome outcome) {
        Verdict verdict = outcome.failure().map(Failure::verdict).orElse(Verdict.RAN);
        metrics.recordRequest(
                mMessage.workspace().value(),
                verdict.wireName(),
                mMessage.options().consistency().name().toLowerCase(Locale.ROOT),
                mMessage.writes() ? "write" : "read",
                (SteadyClock.nanoTime() - mStartNanos) / NANOS_PER_SECOND);
        outcome.failure().ifPresent(failure -> metrics.recordRefusal(failure.code().name()));
    }
}
