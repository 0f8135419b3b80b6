package org.crocusturn.daemon.callers;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.crocusturn.core.WorkspaceId;
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
    Optional<Leaseholder> mLeaseholder = Optional.empty();

    CallerSession(SessionEvent.OpenRequested request, WorkspaceId workspace) {
        mNumber = request.session();
        mChannel = request.channel();
        mDatabase = request.database();
        mKeyHash = request.keyHash();
        mWorkspace = workspace;
    }
}
