package org.crocusturn.standin.database;

import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Is one connection of a database, which runs one command at a time.
 *
 * <p>It can be closed from any thread; if a command runs then, the thread of that command finishes
 * the close.
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

    /** Returns the SQL side; only for the thread whose command acquired the session. */
    SqlSession sql() {
        return mSql;
    }

    /** Reserves the session for one command; returns false if another one runs. */
    boolean acquire() {
        return !mClosed.get() && mBusy.compareAndSet(false, true);
    }

    /** Ends the command that acquired the session. */
    void release() {
        mBusy.set(false);
        if (mClosed.get()) {
            releaseResources();
        }
    }

    /** Closes the session; its open transaction is rolled back. */
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
