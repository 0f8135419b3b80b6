package org.crocusturn.core.endpoints;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.stream.Stream;
import org.crocusturn.core.PersistentMap;

/**
 * The connections of a leaseholder to one database.
 *
 * <p>Immutable. Connections are opened on demand and kept open; a transaction pins one until it
 * ends. Finding an idle connection is linear in the size of the pool, which is at most half of the
 * database's connection limit; every other operation costs one map update.
 */
public final class ConnectionPool {
    private final CopyLimits mLimits;
    private final PersistentMap<Long, ConnectionState> mConnections;
    private final int mOpening;
    private final int mIdle;
    private final int mRunning;
    private final int mPinned;

    private ConnectionPool(
            CopyLimits limits, PersistentMap<Long, ConnectionState> connections, int[] counts) {
        mLimits = limits;
        mConnections = connections;
        mOpening = counts[0];
        mIdle = counts[1];
        mRunning = counts[2];
        mPinned = counts[3];
    }

    /** The state of a connection, with its contribution to each counter of the pool. */
    private enum ConnectionState {
        OPENING(1, 0, 0, 0),
        IDLE(0, 1, 0, 0),
        RUNNING(0, 0, 1, 0),
        PINNED(0, 0, 0, 1),
        PINNED_RUNNING(0, 0, 1, 1);

        private final int[] mCounts;

        ConnectionState(int... counts) {
            mCounts = counts;
        }
    }

    /** Creates a pool without connections. */
    public static ConnectionPool empty(CopyLimits limits) {
        return new ConnectionPool(
                Objects.requireNonNull(limits, "limits"), PersistentMap.empty(), new int[4]);
    }

    /** Returns the number of connections, including those that are being opened. */
    public int size() {
        return mConnections.size();
    }

    /** Returns the number of connections that are being opened. */
    public int opening() {
        return mOpening;
    }

    /** Returns the number of running statements. */
    public int running() {
        return mRunning;
    }

    /** Returns the number of connections pinned by transactions. */
    public int pinned() {
        return mPinned;
    }

    /** Returns how many more statements may start. */
    public int freeSlots() {
        return mLimits.slots() - mRunning;
    }

    /** Returns whether one more transaction may begin. */
    public boolean canBeginTransaction() {
        return mPinned < mLimits.transactions();
    }

    /** Returns whether the pool has an idle connection. */
    public boolean hasIdle() {
        return mIdle > 0;
    }

    /** Returns whether one more connection may be opened. */
    public boolean canOpen() {
        return size() < mLimits.connections();
    }

    /** Returns whether the pool contains the given connection. */
    public boolean contains(long connection) {
        return mConnections.contains(connection);
    }

    /** Returns an idle connection, if there is one. */
    public Optional<Long> idle() {
        return mIdle == 0
                ? Optional.empty()
                : mConnections
                        .entries()
                        .filter(e -> e.value() == ConnectionState.IDLE)
                        .map(PersistentMap.Entry::key)
                        .findFirst();
    }

    /** Returns whether the given connection is being opened. */
    public boolean isOpening(long connection) {
        return mConnections.get(connection) == ConnectionState.OPENING;
    }

    /** Returns the idle connections. */
    public List<Long> idleConnections() {
        return mConnections
                .entries()
                .filter(e -> e.value() == ConnectionState.IDLE)
                .map(PersistentMap.Entry::key)
                .toList();
    }

    /** Returns all connections. */
    public Stream<Long> connections() {
        return mConnections.keys();
    }

    /** Returns a copy with new limits; connections that exceed them stay open. */
    public ConnectionPool withLimits(CopyLimits limits) {
        return new ConnectionPool(
                limits, mConnections, new int[] {mOpening, mIdle, mRunning, mPinned});
    }

    /** Returns a copy with an additional connection that is being opened. */
    public ConnectionPool withOpening(long connection) {
        if (!canOpen()) {
            throw new IllegalStateException("no more than " + size() + " connections are allowed");
        }
        return with(connection, ConnectionState.OPENING);
    }

    /** Returns a copy in which a connection is idle. */
    public ConnectionPool withIdle(long connection) {
        return with(connection, ConnectionState.IDLE);
    }

    /** Returns a copy in which a connection runs a statement outside of a transaction. */
    public ConnectionPool withRunning(long connection) {
        requireSlot();
        return with(connection, ConnectionState.RUNNING);
    }

    /** Returns a copy in which a connection is pinned by a transaction that runs no command. */
    public ConnectionPool withPinned(long connection) {
        return with(connection, ConnectionState.PINNED);
    }

    /** Returns a copy in which a connection runs a command of its transaction. */
    public ConnectionPool withPinnedRunning(long connection) {
        requireSlot();
        return with(connection, ConnectionState.PINNED_RUNNING);
    }

    /** Returns a copy without a connection. */
    public ConnectionPool without(long connection) {
        ConnectionState old = mConnections.get(connection);
        return old == null
                ? this
                : new ConnectionPool(mLimits, mConnections.without(connection), counts(old, null));
    }

    private void requireSlot() {
        if (freeSlots() < 1) {
            throw new IllegalStateException("all " + mLimits.slots() + " slots are in use");
        }
    }

    private ConnectionPool with(long connection, ConnectionState state) {
        ConnectionState old = mConnections.get(connection);
        return new ConnectionPool(
                mLimits, mConnections.with(connection, state), counts(old, state));
    }

    private int[] counts(ConnectionState old, ConnectionState state) {
        int[] counts = {mOpening, mIdle, mRunning, mPinned};
        for (int i = 0; i < counts.length; i++) {
            counts[i] +=
                    (state == null ? 0 : state.mCounts[i]) - (old == null ? 0 : old.mCounts[i]);
        }
        return counts;
    }
}
