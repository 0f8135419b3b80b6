package org.crocusturn.daemon.callers;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.crocusturn.core.Failure;
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.callers.SessionOutcome;
import org.crocusturn.core.callers.SessionState;
import org.crocusturn.core.callers.SessionStatement;
import org.crocusturn.core.operators.Leaseholder;

/**
 * Session of a caller; its {@link SessionState} is immutable and is replaced on each change.
 *
 * <p>Not thread-safe: used only by the thread of {@link SessionsDuty}.
 */
final class CallerSession {
    final long mNumber;
    final SessionChannel mChannel;
    final String mDatabase;
    final String mKeyHash;
    final WorkspaceId mWorkspace;
    final Deque<SessionStatement> mQueuedStatements = new ArrayDeque<>();
    SessionState mState = SessionState.NEW;
    long mStatements;
    Optional<PendingCall> mCall = Optional.empty();

    /** Statement that was taken from the queue and has no answer yet. */
    Optional<SessionStatement> mUnanswered = Optional.empty();

    Optional<Leaseholder> mLeaseholder = Optional.empty();

    CallerSession(SessionEvent.OpenRequested request, WorkspaceId workspace) {
        mNumber = request.session();
        mChannel = request.channel();
        mDatabase = request.database();
        mKeyHash = request.keyHash();
        mWorkspace = workspace;
    }

    void answer(SessionStatement statement, SessionOutcome outcome) {
        mUnanswered = Optional.empty();
        mChannel.answer(statement, outcome, mState.phase());
    }

    /**
     * Answers all statements that this host can serve no longer, with what is known of each.
     *
     * @param notRun failure of the statements that did not run
     * @param mayHaveRun failure of a statement that a leaseholder may have received
     */
    void failStatements(Failure notRun, Failure mayHaveRun) {
        boolean sent = mCall.filter(call -> call.mMayHaveRun).isPresent();
        Failure current = sent ? mayHaveRun : notRun;
        mCall = Optional.empty();
        mUnanswered.ifPresent(
                statement -> answer(statement, SessionOutcome.failed(current, false)));
        mQueuedStatements.forEach(
                statement -> answer(statement, SessionOutcome.failed(notRun, false)));
        mQueuedStatements.clear();
    }
}
