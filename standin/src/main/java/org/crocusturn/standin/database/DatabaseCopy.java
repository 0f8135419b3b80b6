package org.crocusturn.standin.database;

import java.sql.Connection;
import java.sql.SQLException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;
import org.crocusturn.core.LogPosition;
import org.crocusturn.core.callers.Role;
import org.crocusturn.core.endpoints.CopyStatus;
import org.crocusturn.core.operators.DatabaseRecord;

/**
 * One database of an endpoint: its data, its log and its role in the group.
 *
 * <p>A single lock serialises commits, term changes and new sessions, so that no write commits
 * after a fence or the opening of a session with a higher epoch has been answered. This class is
 * thread-safe.
 */
final class DatabaseCopy {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final DatabaseRecord mRecord;
    private final Counters mCounters;
    private final Runnable mOnChange;
    private final ReentrantLock mLock = new ReentrantLock();
    private final List<CommittedEntry> mLog = new ArrayList<>();
    private final Set<DatabaseSession> mSessions = new HashSet<>();
    private CopyState mState = CopyState.INITIAL;
    private SqlStore mStore;
    private Connection mReplayConnection;
    private long mEpoch;
    private Optional<Long> mCaughtUpNanos = Optional.empty();

    private DatabaseCopy(DatabaseRecord record, Counters counters, Runnable onChange)
            throws SQLException {
        mRecord = record;
        mCounters = counters;
        mOnChange = onChange;
        mStore = SqlStore.create();
        mReplayConnection = mStore.openWriter();
    }

    static DatabaseCopy create(DatabaseRecord record, Counters counters, Runnable onChange) {
        try {
            return new DatabaseCopy(record, counters, onChange);
        } catch (SQLException e) {
            throw new IllegalStateException(
                    "database " + record.name() + " could not be created", e);
        }
    }

    DatabaseRecord record() {
        return mRecord;
    }

    String name() {
        return mRecord.name();
    }

    CopyState state() {
        return withLock(() -> mState);
    }

    LogPosition position() {
        return withLock(this::lastPositionLocked);
    }

    int sessionCount() {
        return withLock(mSessions::size);
    }

    CopyStatus status(long nowNanos) {
        return withLock(
                () ->
                        new CopyStatus(
                                name(),
                                mState.role(),
                                mState.term(),
                                lastPositionLocked(),
                                mState.role() == Role.PRIMARY
                                        ? 0
                                        : mCaughtUpNanos
                                                .map(n -> lagMillis(nowNanos, n))
                                                .orElse(Long.MAX_VALUE)));
    }

    /**
     * Returns the lag, or 0 if the copy caught up after {@code nowNanos} was read while the caller
     * waited for the lock.
     */
    private static long lagMillis(long nowNanos, long caughtUpNanos) {
        return Math.max(0, nowNanos - caughtUpNanos) / NANOS_PER_MILLI;
    }

    /**
     * Opens a session after closing all sessions of lower epochs and rolling back their
     * transactions.
     */
    DatabaseSession openSession(long epoch, Runnable disconnect) {
        List<DatabaseSession> outdatedSessions = withLock(() -> raiseEpoch(epoch));
        outdatedSessions.forEach(DatabaseSession::close);
        return withLock(
                () -> {
                    if (mSessions.size() >= mRecord.connections()) {
                        throw RefusedException.tooManyRequests(
                                "too_many_connections",
                                name() + " accepts " + mRecord.connections() + " connections");
                    }
                    DatabaseSession session =
                            DatabaseSession.create(this, mStore, epoch, disconnect, mCounters);
                    mSessions.add(session);
                    mCounters.recordOpenSessions(name(), mSessions.size());
                    return session;
                });
    }

    void removeSession(DatabaseSession session) {
        withLock(() -> mSessions.remove(session));
    }

    /** Checks that a session may run a statement of a term on this copy. */
    void checkAccess(DatabaseSession session, long term, boolean write) {
        withLock(
                () -> {
                    checkAccessLocked(session, term, write);
                    return null;
                });
    }

    /**
     * Commits a write transaction and appends it to the log atomically.
     *
     * @param action commits the transaction; must have no effect if it throws
     */
    <T> T commit(
            DatabaseSession session,
            long term,
            List<LoggedStatement> statements,
            SqlCallable<T> action)
            throws SQLException {
        mLock.lock();
        try {
            checkAccessLocked(session, term, true);
            T result = action.call();
            mLog.add(
                    new CommittedEntry(
                            LogPosition.of(term, mLog.size() + 1L), System.nanoTime(), statements));
            return result;
        } finally {
            mLock.unlock();
            mOnChange.run();
        }
    }

    /** Applies a fence, promote or follow command to the state of the copy. */
    void changeState(UnaryOperator<CopyState> change) {
        withLock(
                () -> {
                    CopyState next = change.apply(mState);
                    if (!next.equals(mState)) {
                        mState = next;
                        mCaughtUpNanos = Optional.empty();
                    }
                    return null;
                });
        mOnChange.run();
    }

    /** Returns the entries after a position, or empty if the log does not contain that position. */
    Optional<List<CommittedEntry>> entriesAfter(LogPosition position, int limit) {
        return withLock(
                () -> {
                    int from = (int) position.index();
                    if (from > mLog.size()
                            || from > 0
                                    && mLog.get(from - 1).position().term() != position.term()) {
                        return Optional.empty();
                    }
                    int to = Math.min(mLog.size(), from + limit);
                    return Optional.of(List.copyOf(mLog.subList(from, to)));
                });
    }

    /**
     * Returns the last log position whose term and index do not exceed those of another position.
     */
    LogPosition lastPositionNotAfter(LogPosition other) {
        return withLock(
                () -> {
                    int index = (int) Math.min(other.index(), mLog.size());
                    while (index > 0 && mLog.get(index - 1).position().term() > other.term()) {
                        index--;
                    }
                    return index == 0 ? LogPosition.ZERO : mLog.get(index - 1).position();
                });
    }

    /**
     * Applies an entry and returns true, or returns false if the copy no longer follows that
     * primary or the entry is not the next one.
     */
    boolean apply(long term, String source, CommittedEntry entry) {
        boolean applied =
                withLock(
                        () -> {
                            if (!mState.isFollowing(term, source)
                                    || entry.position().index() != mLog.size() + 1L) {
                                return false;
                            }
                            replay(entry);
                            mLog.add(entry);
                            return true;
                        });
        mOnChange.run();
        return applied;
    }

    /**
     * Records that the log is a prefix of the primary's log and the time at which it was complete,
     * if known.
     */
    void confirmLog(long term, String source, Optional<Long> caughtUpNanos) {
        withLock(
                () -> {
                    if (mState.isFollowing(term, source)) {
                        mState = mState.withConfirmation();
                        mCaughtUpNanos = caughtUpNanos.or(() -> mCaughtUpNanos);
                    }
                    return null;
                });
    }

    /** Removes the entries after an index and rebuilds the data from the remaining ones. */
    void truncate(long term, String source, long index) {
        List<DatabaseSession> sessions =
                withLock(
                        () -> {
                            if (!mState.isFollowing(term, source) || index >= mLog.size()) {
                                return List.of();
                            }
                            mLog.subList((int) index, mLog.size()).clear();
                            rebuildStore();
                            return List.copyOf(mSessions);
                        });
        sessions.forEach(DatabaseSession::close);
        mOnChange.run();
    }

    void close() {
        List<DatabaseSession> sessions = withLock(() -> List.copyOf(mSessions));
        sessions.forEach(DatabaseSession::close);
        withLock(
                () -> {
                    closeStore();
                    return null;
                });
    }

    private List<DatabaseSession> raiseEpoch(long epoch) {
        if (epoch < mEpoch) {
            throw RefusedException.conflict(
                    "old_epoch", "epoch " + epoch + " is lower than current epoch " + mEpoch);
        }
        mEpoch = epoch;
        return mSessions.stream().filter(s -> s.epoch() < epoch).toList();
    }

    private void checkAccessLocked(DatabaseSession session, long term, boolean write) {
        if (session.isClosed() || session.epoch() < mEpoch) {
            throw RefusedException.conflict("old_epoch", "the session was closed");
        }
        if (term != mState.term()) {
            throw RefusedException.conflict(
                    "wrong_term",
                    "term " + term + " differs from term " + mState.term() + " of the copy");
        }
        if (write && mState.role() != Role.PRIMARY) {
            throw RefusedException.conflict("not_primary", "the copy is not the primary");
        }
        if (!mState.confirmed()) {
            throw RefusedException.conflict(
                    "not_following",
                    "the primary of the term has not yet confirmed the log of the copy");
        }
    }

    private LogPosition lastPositionLocked() {
        return mLog.isEmpty() ? LogPosition.ZERO : mLog.get(mLog.size() - 1).position();
    }

    private void rebuildStore() {
        try {
            closeStore();
            mStore = SqlStore.create();
            mReplayConnection = mStore.openWriter();
        } catch (SQLException e) {
            throw new IllegalStateException("database " + name() + " could not be rebuilt", e);
        }
        mLog.forEach(this::replay);
    }

    private void closeStore() {
        SqlStore.close(mReplayConnection);
        mStore.close();
    }

    private void replay(CommittedEntry entry) {
        try {
            for (LoggedStatement statement : entry.statements()) {
                SqlStore.execute(mReplayConnection, statement);
            }
            mReplayConnection.commit();
        } catch (SQLException e) {
            try {
                mReplayConnection.rollback();
            } catch (SQLException rollbackError) {
                e.addSuppressed(rollbackError);
            }
            throw new IllegalStateException(
                    name() + " cannot apply entry " + entry.position() + ": " + e.getMessage(), e);
        }
    }

    private <T> T withLock(Supplier<T> action) {
        mLock.lock();
        try {
            return action.get();
        } finally {
            mLock.unlock();
        }
    }
}
