package org.crocusturn.daemon.callers;

import java.util.Locale;
import java.util.Optional;
import org.crocusturn.core.Failure;
import org.crocusturn.core.Verdict;
import org.crocusturn.core.callers.SessionOutcome;
import org.crocusturn.core.entryhosts.SessionCall;
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
    final long mHoldUntilNanos;
    SessionCall mMessage;
    Optional<Leaseholder> mSentTo = Optional.empty();
    long mExcludedEpoch;

    /**
     * Whether a leaseholder may have received the call and has not answered that it did not run.
     */
    boolean mMayHaveRun;

    PendingCall(
            CallerSession session,
            SessionCall message,
            long startNanos,
            long deadlineNanos,
            long holdUntilNanos) {
        mSession = session;
        mMessage = message;
        mStartNanos = startNanos;
        mDeadlineNanos = deadlineNanos;
        mHoldUntilNanos = holdUntilNanos;
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
