package org.crocusturn.daemon.endpoints;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
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
final class ReplicationProbe implements SessionTask {
    /** Workspace under which the system itself connects. */
    static final WorkspaceId SYSTEM_WORKSPACE = WorkspaceId.of("crocusturn");

    /** Timeout for a result; a command needs a slot and may wait behind long statements. */
    private static final long RESULT_TIMEOUT_NANOS = Duration.ofMillis(900).toNanos();

    private static final Duration OPEN_TIMEOUT = Duration.ofMillis(700);

    private final CopyPool mCopy;
    private final GroupContext mContext;
    private final BiConsumer<CopyPool, ConnectionLoss> mOnLost;
    private final Deque<PendingCommand> mPending = new ArrayDeque<>();
    private Optional<PooledSession> mSession = Optional.empty();
    private boolean mOpened;

    ReplicationProbe(
            CopyPool copy, GroupContext context, BiConsumer<CopyPool, ConnectionLoss> onLost) {
        mCopy = copy;
        mContext = context;
        mOnLost = onLost;
    }

    private record PendingCommand(
            SessionCommand command, Consumer<SessionResult> onResult, long sentNanos) {}

    boolean isPending() {
        return !mPending.isEmpty();
    }

    /** Sends a command; a lost connection or a timeout is reported instead of a result. */
    void send(SessionCommand command, Consumer<SessionResult> onResult) {
        mPending.add(new PendingCommand(command, onResult, mContext.nowNanos()));
        if (mSession.isEmpty()) {
            connect();
        } else if (mSession.get().isOpen()) {
            mSession.get().send(command);
        }
    }

    private void connect() {
        mOpened = false;
        mSession = Optional.of(mContext.open(mCopy, SYSTEM_WORKSPACE, OPEN_TIMEOUT, this));
    }

    /** Sends the commands without an answer on a new connection, with their full time limit. */
    private void sendAgain() {
        long nowNanos = mContext.nowNanos();
        List<PendingCommand> commands =
                mPending.stream()
                        .map(p -> new PendingCommand(p.command(), p.onResult(), nowNanos))
                        .toList();
        mPending.clear();
        mPending.addAll(commands);
        connect();
    }

    void tick(long nowNanos) {
        boolean silent =
                !mPending.isEmpty()
                        && nowNanos - mPending.peek().sentNanos() > RESULT_TIMEOUT_NANOS;
        if (silent) {
            mSession.ifPresent(mContext::close);
            reset(ConnectionLoss.SILENT);
        }
    }

    @Override
    public void onOpened(PooledSession session) {
        mOpened = true;
        mPending.forEach(q -> session.send(q.command()));
    }

    @Override
    public void onResult(PooledSession session, SessionResult result) {
        if (!result.certain() && result.error().isEmpty()) {
            // Promotions rest on these answers. The first one on a connection repeats no other.
            mContext.close(session);
            sendAgain();
            return;
        }
        PendingCommand pending = mPending.poll();
        if (pending != null) {
            pending.onResult().accept(result);
        }
        if (mPending.isEmpty() && session.use().isExhausted()) {
            mContext.close(session);
            mSession = Optional.empty();
        }
    }

    @Override
    public void onLost(PooledSession session, ConnectionLoss loss, String text) {
        mContext.logEvent(
                "the status connection to "
                        + mCopy.record().id()
                        + " was lost: "
                        + loss
                        + " "
                        + text);
        // Closed before it accepted commands: this proves no more than a refused connection.
        reset(loss == ConnectionLoss.CLOSED && !mOpened ? ConnectionLoss.REFUSED : loss);
    }

    private void reset(ConnectionLoss loss) {
        mSession = Optional.empty();
        mPending.clear();
        mOnLost.accept(mCopy, loss);
    }
}
