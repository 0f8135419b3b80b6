package org.crocusturn.standin.database;

import java.util.concurrent.atomic.AtomicBoolean;

/**
 * A session of one connection, which runs one command at a time.
 *
 * <p>It can be closed from any thread. If a command is running, the thread of that command releases
 * the resources afterwards.
 */
final class DatabaseSession {
    private final DatabaseCopy mCopy;
    private final long mEpoch;
    private final Runnable mDisconnect;
    private final SqlSession mSql;
    private final AtomicBoolean mBusy = new AtomicBoolean();
    private final AtomicBoolean mClosed = new AtomicBoolean();

    private DatabaseSession(
            DatabaseCopy copy, SqlStore store, long epoch, Runnable disconnect, Counters counters) {
        mCopy = copy;
        mEpoch = epoch;
        mDisconnect = disconnect;
        mSql = new SqlSession(copy, this, store, counters);
    }

    static DatabaseSession create(
            DatabaseCopy copy, SqlStore store, long epoch, Runnable disconnect, Counters counters) {
        return new DatabaseSession(copy, store, epoch, disconnect, counters);
    }

    DatabaseCopy copy() {
        return mCopy;
    }

    long epoch() {
        return mEpoch;
    }

    boolean isClosed() {
        return mClosed.get();
    }

    /** Returns the SQL session; only for the thread whose command acquired the session. */
    SqlSession sql() {
        return mSql;
    }

    /**
     * Reserves the session for one command and returns true, or returns false if another command is
     * running or the session is closed.
     */
    boolean acquire() {
        return !mClosed.get() && mBusy.compareAndSet(false, true);
    }

    /** Releases the session after the command that acquired it. */
    void release() {
        mBusy.set(false);
        if (mClosed.get()) {
            releaseResources();
        }
    }

    /** Closes the session and rolls back its open transaction. */
    void close() {
        mClosed.set(true);
        mDisconnect.run();
        releaseResources();
    }

    private void releaseResources() {
        if (mBusy.compareAndSet(false, true)) {
            mSql.close();
            mCopy.removeSession(this);
        }
    }
}
