package org.crocusturn.daemon.endpoints;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.endpoints.ConnectionLoss;
import org.crocusturn.core.endpoints.SessionCommand;
import org.crocusturn.core.endpoints.SessionResult;

/**
 * Sends status and replication commands to one copy over a dedicated connection.
 *
 * <p>The connection is opened for the first command and kept, because opening one occupies a slot.
 */
final class ControlProbe implements SessionTask {
    /** Workspace under which the system itself connects. */
    static final WorkspaceId SYSTEM = WorkspaceId.of("crocusturn");

    /** Timeout for a result; a command needs a slot and may wait behind long statements. */
    private static final long ANSWER_NANOS = Duration.ofMillis(900).toNanos();

    private static final Duration OPEN_TIMEOUT = Duration.ofMillis(700);

    private final CopyPool mCopy;
    private final GroupPorts mPorts;
    private final BiConsumer<CopyPool, ConnectionLoss> mOnLost;
    private final Deque<Question> mQuestions = new ArrayDeque<>();
    private Optional<PooledSession> mSession = Optional.empty();
    private boolean mOpened;

    ControlProbe(CopyPool copy, GroupPorts ports, BiConsumer<CopyPool, ConnectionLoss> onLost) {
        mCopy = copy;
        mPorts = ports;
        mOnLost = onLost;
    }

    private record Question(
            SessionCommand command, Consumer<SessionResult> onResult, long askedNanos) {}

    boolean isAsking() {
        return !mQuestions.isEmpty();
    }

    /** Sends a command; a lost connection or a timeout is reported instead of a result. */
    void ask(SessionCommand command, Consumer<SessionResult> onResult) {
        mQuestions.add(new Question(command, onResult, mPorts.nowNanos()));
        if (mSession.isEmpty()) {
            mOpened = false;
            mSession = Optional.of(mPorts.open(mCopy, SYSTEM, OPEN_TIMEOUT, this));
        } else if (mSession.get().isOpen()) {
            mSession.get().send(command);
        }
    }

    void tick(long nowNanos) {
        boolean silent =
                !mQuestions.isEmpty() && nowNanos - mQuestions.peek().askedNanos() > ANSWER_NANOS;
        if (silent) {
            mSession.ifPresent(mPorts::close);
            end(ConnectionLoss.SILENT);
        }
    }

    @Override
    public void opened(PooledSession session) {
        mOpened = true;
        mQuestions.forEach(q -> session.send(q.command()));
    }

    @Override
    public void result(PooledSession session, SessionResult result) {
        Question question = mQuestions.poll();
        if (question != null) {
            question.onResult().accept(result);
        }
    }

    @Override
    public void lost(PooledSession session, ConnectionLoss loss, String text) {
        mPorts.note(
                "the status connection to "
                        + mCopy.record().id()
                        + " was lost: "
                        + loss
                        + " "
                        + text);
        // Closed before it accepted commands: this proves no more than a refused connection.
        end(loss == ConnectionLoss.CLOSED && !mOpened ? ConnectionLoss.REFUSED : loss);
    }

    private void end(ConnectionLoss loss) {
        mSession = Optional.empty();
        mQuestions.clear();
        mOnLost.accept(mCopy, loss);
    }
}
