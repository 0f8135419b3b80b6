package org.crocusturn.daemon.callers;

import java.util.Optional;
import org.crocusturn.core.entryhosts.SessionCall;
import org.crocusturn.core.operators.Leaseholder;

/**
 * Statement that was sent to a leaseholder or waits for one.
 *
 * <p>Not thread-safe: used only by the thread of {@link SessionsDuty}.
 */
final class PendingCall {
    final CallerSession mSession;
    final long mStartNanos;
    final long mDeadlineNanos;
    final long mHoldUntilNanos;
    SessionCall mMessage;
    Optional<Leaseholder> mSentTo = Optional.empty();
    long mExcludedEpoch;

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
}
