package org.crocusturn.core.endpoints;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.stream.Stream;
import org.crocusturn.core.PersistentMap;

/**
 * Holds the connections of a leaseholder to one database.
 *
 * <p>Immutable. Connections are opened on demand and kept; a transaction pins one until it ends.
 * Finding an idle connection looks at each connection in the worst case, at most half of the
 * database's limit; everything else costs one map update.
 */
public final class ConnectionPool {
    private final CopyLimits mLimits;
    private final PersistentMap<Long, Use> mConnections;
    private final int mOpening;
    private final int mIdle;
    private final int mRunning;
    private final int mPinned;

    private ConnectionPool(CopyLimits limits, PersistentMap<Long, Use> connections, int[] counts) {
        mLimits = limits;
        mConnections = connections;
        mOpening = counts[0];
        mIdle = counts[1];
        mRunning = counts[2];
        mPinned = counts[3];
    }

    /** Is what a connection is used for. */
    private enum Use {
        OPENING(1, 0, 0, 0),
        IDLE(0, 1, 0, 0),
        RUNNING(0, 0, 1, 0),
        PINNED(0, 0, 0, 1),
        PINNED_RUNNING(0, 0, 1, 1);

        private final int[] mCounts;

        Use(int... counts) {
            mCounts = counts;
        }
    }

    /** Creates a pool without connections. */
    public static ConnectionPool empty(CopyLimits limits) {
        return new ConnectionPool(
                Objects.requireNonNull(limits, "limits"), PersistentMap.empty(), new int[4]);
    }

    /** Returns the number of connections, those that are being opened included. */
    public int size() {
        return mConnections.size();
    }

    /** Returns the number of connections that are being opened. */
    public int opening() {
        return mOpening;
    }

    /** Returns the number of statements that run. */
    public int running() {
        return mRunning;
    }

    /** Returns the number of connections that transactions pin. */
    public int pinned() {
        return mPinned;
    }

    /** Returns how many more statements may run. */
    public int freeSlots() {
        return mLimits.slots() - mRunning;
    }

    /** Returns whether one more transaction may begin. */
    public boolean mayBegin() {
        return mPinned < mLimits.transactions();
    }

    /** Returns whether there is an open connection without work. */
    public boolean hasIdle() {
        return mIdle > 0;
    }

    /** Returns whether one more connection may be opened. */
    public boolean mayOpen() {
        return size() < mLimits.connections();
    }

    /** Returns whether the pool has a connection. */
    public boolean contains(long connection) {
        return mConnections.contains(connection);
    }

    /** Returns an open connection without work, if there is one. */
    public Optional<Long> idle() {
        return mIdle == 0
                ? Optional.empty()
                : mConnections
                        .entries()
                        .filter(e -> e.value() == Use.IDLE)
                        .map(PersistentMap.Entry::key)
                        .findFirst();
    }

    /** Returns whether a connection is being opened. */
    public boolean isOpening(long connection) {
        return mConnections.get(connection) == Use.OPENING;
    }

    /** Returns the open connections without work. */
    public List<Long> idleConnections() {
        return mConnections
                .entries()
                .filter(e -> e.value() == Use.IDLE)
                .map(PersistentMap.Entry::key)
                .toList();
    }

    /** Returns all connections. */
    public Stream<Long> connections() {
        return mConnections.keys();
    }

    /** Returns a copy with new limits; connections beyond them are kept. */
    public ConnectionPool withLimits(CopyLimits limits) {
        return new ConnectionPool(
                limits, mConnections, new int[] {mOpening, mIdle, mRunning, mPinned});
    }

    /** Returns a copy that opens a connection. */
    public ConnectionPool withOpening(long connection) {
        if (!mayOpen()) {
            throw new IllegalStateException("no more than " + size() + " connections are allowed");
        }
        return with(connection, Use.OPENING);
    }

    /** Returns a copy in which a connection has no work. */
    public ConnectionPool withIdle(long connection) {
        return with(connection, Use.IDLE);
    }

    /** Returns a copy in which a connection runs a statement outside of a transaction. */
    public ConnectionPool withRunning(long connection) {
        requireSlot();
        return with(connection, Use.RUNNING);
    }

    /** Returns a copy in which a connection belongs to a transaction that runs nothing. */
    public ConnectionPool withPinned(long connection) {
        return with(connection, Use.PINNED);
    }

    /** Returns a copy in which a connection runs a command of its transaction. */
    public ConnectionPool withPinnedRunning(long connection) {
        requireSlot();
        return with(connection, Use.PINNED_RUNNING);
    }

    /** Returns a copy without a connection. */
    public ConnectionPool without(long connection) {
        Use old = mConnections.get(connection);
        return old == null
                ? this
                : new ConnectionPool(mLimits, mConnections.without(connection), counts(old, null));
    }

    private void requireSlot() {
        if (freeSlots() < 1) {
            throw new IllegalStateException("all " + mLimits.slots() + " slots are in use");
        }
    }

    private ConnectionPool with(long connection, Use use) {
        Use old = mConnections.get(connection);
        return new ConnectionPool(mLimits, mConnections.with(connection, use), counts(old, use));
    }

    private int[] counts(Use old, Use use) {
        int[] counts = {mOpening, mIdle, mRunning, mPinned};
        for (int i = 0; i < counts.length; i++) {
            counts[i] += (use == null ? 0 : use.mCounts[i]) - (old == null ? 0 : old.mCounts[i]);
        }
        return counts;
    }
}
