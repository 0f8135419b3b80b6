package org.crocusturn.daemon.endpoints;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.crocusturn.core.endpoints.ConnectionLoss;

/**
 * Opens, reuses and closes the connections of a group to its copies.
 *
 * <p>Not thread-safe: used only by the thread of the group.
 */
final class PooledConnections {
    /** Timeout for opening a connection; a handshake takes 12 to 30 ms. */
    private static final Duration OPEN_TIMEOUT = Duration.ofMillis(600);

    private final ConnectionPlanner mPlanner;
    private final GroupContext mContext;

    PooledConnections(ConnectionPlanner planner, GroupContext context) {
        mPlanner = planner;
        mContext = context;
    }

    /** Assigns an idle or a new connection to a run. */
    PooledSession acquire(StatementRun run) {
        CopyPool pool = run.copy();
        PooledSession session = pool.findIdle(run.call()).orElseGet(() -> connect(pool, run));
        session.assign(run, mContext.nowNanos());
        return session;
    }

    private PooledSession connect(CopyPool pool, StatementRun run) {
        mContext.metrics().recordConnectionOpened(pool.openingReason(run.call().workspace()));
        if (!pool.canOpenConnection()) {
            mPlanner.victim(pool).ifPresent(this::closeForRoom);
        }
        return mContext.open(pool, run.call().workspace(), OPEN_TIMEOUT, run);
    }

    private void closeForRoom(PooledSession session) {
        mContext.close(session);
        session.copy().recordClosedForRoom(session.workspace());
    }

    /** Makes a connection available for other tasks. */
    void release(PooledSession session) {
        session.release();
        if (session.use().isExhausted()) {
            mContext.close(session);
        }
    }

    /** Closes a connection and reports it to its task as lost. */
    void closeAsLost(PooledSession session, ConnectionLoss loss) {
        Optional<SessionTask> task = session.task();
        mContext.close(session);
        task.ifPresent(t -> t.onLost(session, loss, "the pool closed the connection"));
    }

    /** Closes the connections to some copies and reports them to their tasks as lost. */
    void closeAll(Collection<CopyPool> pools) {
        pools.forEach(
                pool ->
                        List.copyOf(pool.sessions())
                                .forEach(s -> closeAsLost(s, ConnectionLoss.CLOSED)));
    }
}
