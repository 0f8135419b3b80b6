package org.crocusturn.daemon.endpoints;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.crocusturn.core.LogPosition;
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.callers.PreparedShape;
import org.crocusturn.core.endpoints.ConnectionUse;
import org.crocusturn.core.endpoints.ConnectionUse.Purpose;
import org.crocusturn.core.endpoints.SessionCommand;
import org.crocusturn.core.endpoints.SessionResult;
import org.crocusturn.core.entryhosts.SessionCall;

/**
 * Connection of a {@link CopyPool} with its session values and prepared statements.
 *
 * <p>Not thread-safe: used only by the thread of the groups.
 */
final class PooledSession {
    private final long mId;
    private final CopyPool mCopy;
    private final WorkspaceId mWorkspace;
    private final Map<String, String> mSessionValues = new HashMap<>();
    private final Map<PreparedShape, String> mPrepared = new HashMap<>();
    private EndpointSession mConnection;
    private Optional<SessionTask> mTask = Optional.empty();
    private boolean mOpen;
    private long mLastUsedNanos;
    private int mPreparedCount;
    private ConnectionUse mUse = ConnectionUse.UNUSED;

    PooledSession(long id, CopyPool copy, WorkspaceId workspace) {
        mId = id;
        mCopy = copy;
        mWorkspace = workspace;
    }

    long id() {
        return mId;
    }

    CopyPool copy() {
        return mCopy;
    }

    WorkspaceId workspace() {
        return mWorkspace;
    }

    boolean isOpen() {
        return mOpen;
    }

    boolean isIdle() {
        return mOpen && mTask.isEmpty();
    }

    long lastUsedNanos() {
        return mLastUsedNanos;
    }

    Optional<SessionTask> task() {
        return mTask;
    }

    void setConnection(EndpointSession connection) {
        mConnection = connection;
    }

    void markOpen() {
        mOpen = true;
    }

    void assign(SessionTask task, long nowNanos) {
        mTask = Optional.of(task);
        mLastUsedNanos = nowNanos;
    }

    void release() {
        mTask = Optional.empty();
    }

    /** Records a result, which limits what the connection may be used for. */
    void recordResult(SessionResult result) {
        mUse = mUse.withResult(result);
    }

    ConnectionUse use() {
        return mUse;
    }

    void send(SessionCommand command) {
        mConnection.send(command);
    }

    void close() {
        mOpen = false;
        mTask = Optional.empty();
        mConnection.close();
    }

    /**
     * Returns whether the answers that a call needs can be told from repeated ones.
     *
     * @param applied position that the endpoint is known to have applied
     */
    boolean suits(SessionCall call, LogPosition applied) {
        boolean begins = call.step().begins();
        boolean confirms = !begins && needsConfirmation(call.values(), applied);
        return (!begins && !confirms || mUse.suits(Purpose.TRANSACTION, applied))
                && (begins || !call.writes() || mUse.suits(Purpose.WRITE, applied));
    }

    /**
     * Returns whether the session values have to be confirmed by the answer to another command,
     * because their own answers cannot be told from repeated ones.
     */
    boolean needsConfirmation(Map<String, String> values, LogPosition applied) {
        int commands = setupCost(values);
        return commands > 1 || commands == 1 && !mUse.suits(Purpose.VALUE, applied);
    }

    /** Returns the number of commands needed before a statement with these session values. */
    int setupCost(Map<String, String> values) {
        return (int)
                        values.entrySet().stream()
                                .filter(e -> !e.getValue().equals(mSessionValues.get(e.getKey())))
                                .count()
                + (values.keySet().containsAll(mSessionValues.keySet()) ? 0 : 1 + values.size());
    }

    /**
     * Returns the commands that give the connection these session values and prepared statement,
     * and records them as applied.
     */
    List<SessionCommand> setupCommands(Map<String, String> values, Optional<PreparedShape> shape) {
        List<SessionCommand> commands = new ArrayList<>();
        if (!values.keySet().containsAll(mSessionValues.keySet())) {
            commands.add(new SessionCommand.Reset());
            mSessionValues.clear();
            mPrepared.clear();
        }
        values.forEach(
                (name, value) -> {
                    if (!value.equals(mSessionValues.put(name, value))) {
                        commands.add(new SessionCommand.SetValue(name, value));
                    }
                });
        shape.filter(s -> !mPrepared.containsKey(s))
                .ifPresent(
                        s -> {
                            // Names chosen by callers may collide, so the connection assigns
                            // its own.
                            String name = "c" + ++mPreparedCount;
                            mPrepared.put(s, name);
                            commands.add(new SessionCommand.Prepare(name, s));
                        });
        return commands;
    }

    /** Returns the name under which a statement is prepared on this connection. */
    Optional<String> preparedName(Optional<PreparedShape> shape) {
        return shape.map(mPrepared::get);
    }

    /** Forgets a prepared statement, so that it is prepared again before its next use. */
    void forgetPrepared(Optional<PreparedShape> shape) {
        shape.ifPresent(mPrepared::remove);
    }
}
