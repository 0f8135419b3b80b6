package org.crocusturn.daemon.endpoints;

import java.time.Duration;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.endpoints.ConnectionDemand;
import org.crocusturn.core.endpoints.ConnectionPlan;
import org.crocusturn.core.entryhosts.SessionCall;

/**
 * Keeps the connection plan of a group up to date.
 *
 * <p>Not thread-safe: used only by the thread of the group.
 */
final class ConnectionPlanner {
    private static final long PLAN_INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();

    private final LeasedGroup mGroup;
    private final GroupContext mContext;
    private ConnectionDemand mDemand = ConnectionDemand.none();
    private ConnectionPlan mPlan = ConnectionPlan.empty();
    private List<ConnectionPlan.Copy> mCopies = List.of();
    private long mNextPlanNanos;

    ConnectionPlanner(LeasedGroup group, GroupContext context) {
        mGroup = group;
        mContext = context;
    }

    ConnectionPlan plan() {
        return mPlan;
    }

    /** Records a call that begins an operation. */
    void recordDemand(SessionCall call) {
        mDemand = mDemand.with(call.workspace(), call.needsPrimary(), mContext.nowNanos());
    }

    /**
     * Plans again if that is due or the copies have changed; returns the copies for which new
     * connections should be opened.
     */
    List<CopyPool> update(long nowNanos) {
        List<ConnectionPlan.Copy> copies =
                mGroup.pools().stream().filter(mGroup::isServing).map(this::toCopy).toList();
        boolean copiesChanged = !copies.equals(mCopies);
        if (!copiesChanged && mNextPlanNanos - nowNanos > 0) {
            return List.of();
        }
        mCopies = copies;
        mNextPlanNanos = nowNanos + PLAN_INTERVAL_NANOS;
        mPlan = mPlan.next(copies, rates(nowNanos));
        return copiesChanged
                ? copies.stream().flatMap(c -> mGroup.pool(c.endpoint()).stream()).toList()
                : List.of();
    }

    private ConnectionPlan.Copy toCopy(CopyPool pool) {
        return new ConnectionPlan.Copy(
                pool.record().id(), mGroup.failover().isPrimary(pool), pool.plannableConnections());
    }

    private Map<WorkspaceId, ConnectionDemand.Rate> rates(long nowNanos) {
        return Stream.concat(mGroup.settings().workspaces().stream(), mDemand.workspaces().stream())
                .distinct()
                .collect(
                        Collectors.toMap(
                                Function.identity(),
                                w -> mDemand.rate(w, nowNanos),
                                (a, b) -> a,
                                LinkedHashMap::new));
    }

    /** Returns whether a copy is a home of the reads of a workspace. */
    boolean isHome(CopyPool pool, WorkspaceId workspace) {
        return mPlan.isHome(pool.record().id(), workspace);
    }

    /**
     * Returns the idle connection that is closed to make room for another one: one beyond the plan
     * if there is any, and of those the one of the workspace with the least demand.
     */
    Optional<PooledSession> victim(CopyPool pool) {
        EndpointId endpoint = pool.record().id();
        long now = mContext.nowNanos();
        Map<WorkspaceId, Long> open =
                pool.sessions().stream()
                        .collect(
                                Collectors.groupingBy(
                                        PooledSession::workspace, Collectors.counting()));
        return pool.sessions().stream()
                .filter(PooledSession::isIdle)
                .min(
                        Comparator.<PooledSession>comparingInt(
                                        s ->
                                                open.get(s.workspace())
                                                                > mPlan.connections(
                                                                        endpoint, s.workspace())
                                                        ? 0
                                                        : 1)
                                .thenComparingDouble(s -> demand(pool, s.workspace(), now))
                                .thenComparingLong(PooledSession::lastUsedNanos));
    }

    private double demand(CopyPool pool, WorkspaceId workspace, long nowNanos) {
        ConnectionDemand.Rate rate = mDemand.rate(workspace, nowNanos);
        return (mGroup.failover().isPrimary(pool) ? rate.writes() : 0)
                + (isHome(pool, workspace) ? rate.reads() : 0);
    }
}
