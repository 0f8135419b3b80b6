package org.crocusturn.core.endpoints;

import java.time.Duration;
import java.util.Objects;
import java.util.Set;
import java.util.stream.Collectors;
import org.crocusturn.core.PersistentMap;
import org.crocusturn.core.WorkspaceId;

/**
 * Observed demand of workspaces for connections to the copies of a group. Immutable.
 *
 * <p>Counts decay with a time constant of 30 s, so that a plan follows the load of the day but not
 * that of single requests.
 */
public final class ConnectionDemand {
    private static final double DECAY_NANOS = Duration.ofSeconds(30).toNanos();
    private static final double DECAY_SECONDS = DECAY_NANOS / Duration.ofSeconds(1).toNanos();

    private static final ConnectionDemand NONE = new ConnectionDemand(PersistentMap.empty());

    private final PersistentMap<WorkspaceId, Counts> mCounts;

    private ConnectionDemand(PersistentMap<WorkspaceId, Counts> counts) {
        mCounts = counts;
    }

    private record Counts(double reads, double writes, long nanos) {
        Counts at(long nowNanos) {
            double factor = Math.exp(-Math.max(0, nowNanos - nanos) / DECAY_NANOS);
            return new Counts(reads * factor, writes * factor, nowNanos);
        }
    }

    /**
     * Demand of one workspace, in calls per second.
     *
     * @param reads calls that any copy can run
     * @param writes calls that only the primary can run
     */
    public record Rate(double reads, double writes) {
        /** Demand of a workspace without calls. */
        public static final Rate NONE = new Rate(0, 0);
    }

    /** Returns the demand of a group without calls. */
    public static ConnectionDemand none() {
        return NONE;
    }

    /** Returns the demand after a call that begins an operation. */
    public ConnectionDemand with(WorkspaceId workspace, boolean needsPrimary, long nowNanos) {
        Objects.requireNonNull(workspace, "workspace");
        Counts counts = mCounts.find(workspace).orElse(new Counts(0, 0, nowNanos)).at(nowNanos);
        return new ConnectionDemand(
                mCounts.with(
                        workspace,
                        new Counts(
                                counts.reads() + (needsPrimary ? 0 : 1),
                                counts.writes() + (needsPrimary ? 1 : 0),
                                nowNanos)));
    }

    /** Returns the demand of a workspace. */
    public Rate rate(WorkspaceId workspace, long nowNanos) {
        return mCounts.find(workspace)
                .map(counts -> counts.at(nowNanos))
                .map(c -> new Rate(c.reads() / DECAY_SECONDS, c.writes() / DECAY_SECONDS))
                .orElse(Rate.NONE);
    }

    /** Returns the workspaces that have sent calls. */
    public Set<WorkspaceId> workspaces() {
        return mCounts.keys().collect(Collectors.toUnmodifiableSet());
    }
}
