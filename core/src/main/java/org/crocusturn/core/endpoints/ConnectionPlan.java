package org.crocusturn.core.endpoints;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.UUID;
import java.util.function.ToDoubleFunction;
import java.util.stream.Stream;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.WorkspaceId;

/**
 * Number of connections that each workspace holds to each copy of a group. Immutable.
 *
 * <p>The primary holds connections for the workspaces that write. The reads of a workspace have a
 * home among the other copies, and a busy workspace has several. Homes follow from a rendezvous
 * hash, so that few of them change when a copy leaves, unless a copy would get too much of the load
 * or has no connections left.
 */
public final class ConnectionPlan {
    /** Calls per second of a workspace for which one more connection is planned. */
    private static final double CALLS_PER_CONNECTION = 5;

    /** Advantage of a workspace that already holds a connection, against frequent changes. */
    private static final double HOLDER_ADVANTAGE = 1.2;

    /** Load of a copy in relation to the average above which it gets no further homes. */
    private static final double MAX_LOAD_RATIO = 1.2;

    /** Part of the average load of a copy for which a workspace has one more home. */
    private static final double LOAD_PER_HOME = 0.2;

    private static final ConnectionPlan EMPTY = new ConnectionPlan(Map.of(), Map.of());

    /** Connections by copy and workspace; those of a copy are in order of demand. */
    private final Map<EndpointId, Map<WorkspaceId, Integer>> mConnections;

    private final Map<WorkspaceId, List<EndpointId>> mHomes;

    private ConnectionPlan(
            Map<EndpointId, Map<WorkspaceId, Integer>> connections,
            Map<WorkspaceId, List<EndpointId>> homes) {
        mConnections = connections;
        mHomes = homes;
    }

    /**
     * A copy that accepts statements.
     *
     * @param endpoint the copy
     * @param primary whether it is the primary
     * @param connections number of connections to it that may be planned
     */
    public record Copy(EndpointId endpoint, boolean primary, int connections) {
        /** Checks that the endpoint is not null. */
        public Copy {
            Objects.requireNonNull(endpoint, "endpoint");
        }
    }

    /** Returns the plan of a group without copies. */
    public static ConnectionPlan empty() {
        return EMPTY;
    }

    /** Returns the number of connections that a workspace should hold to a copy. */
    public int connections(EndpointId endpoint, WorkspaceId workspace) {
        return mConnections.getOrDefault(endpoint, Map.of()).getOrDefault(workspace, 0);
    }

    /** Returns whether a copy is a home of the reads of a workspace. */
    public boolean isHome(EndpointId endpoint, WorkspaceId workspace) {
        return mHomes.getOrDefault(workspace, List.of()).contains(endpoint);
    }

    /** Returns the workspaces that hold connections to a copy, those of the most demand first. */
    public Set<WorkspaceId> workspaces(EndpointId endpoint) {
        return mConnections.getOrDefault(endpoint, Map.of()).keySet();
    }

    /**
     * Returns the plan for the current demand. Workspaces keep their connections and homes unless
     * others have clearly more demand.
     *
     * @param copies copies that accept statements
     * @param demand demand by workspace; workspaces without demand get what is left
     */
    public ConnectionPlan next(List<Copy> copies, Map<WorkspaceId, ConnectionDemand.Rate> demand) {
        Draft draft = new Draft(copies);
        copies.stream().filter(Copy::primary).forEach(copy -> planWriters(copy, demand, draft));
        List<Copy> readers = copies.stream().filter(copy -> !copy.primary()).toList();
        planHomes(readers.isEmpty() ? copies : readers, demand, draft);
        return new ConnectionPlan(draft.mConnections, draft.mHomes);
    }

    private void planWriters(
            Copy primary, Map<WorkspaceId, ConnectionDemand.Rate> demand, Draft draft) {
        byDemand(demand.keySet(), w -> demand.get(w).writes() * advantage(primary.endpoint(), w))
                .forEach(w -> draft.hold(primary.endpoint(), w, demand.get(w).writes()));
    }

    private double advantage(EndpointId endpoint, WorkspaceId workspace) {
        return connections(endpoint, workspace) > 0 ? HOLDER_ADVANTAGE : 1;
    }

    private static Stream<WorkspaceId> byDemand(
            Set<WorkspaceId> workspaces, ToDoubleFunction<WorkspaceId> demand) {
        return workspaces.stream().sorted(Comparator.comparingDouble(demand).reversed());
    }

    private void planHomes(
            List<Copy> copies, Map<WorkspaceId, ConnectionDemand.Rate> demand, Draft draft) {
        double average =
                demand.values().stream().mapToDouble(ConnectionDemand.Rate::reads).sum()
                        / Math.max(1, copies.size());
        boolean scarce = copies.stream().mapToInt(Copy::connections).sum() < demand.size();
        // If there is no room for all, those without a connection to the primary go first: the
        // primary can run the reads of the others.
        List<WorkspaceId> workspaces =
                byDemand(
                                demand.keySet(),
                                w ->
                                        demand.get(w).reads()
                                                * (mHomes.containsKey(w) ? HOLDER_ADVANTAGE : 1))
                        .sorted(
                                Comparator.comparingInt(
                                        w -> scarce && draft.primaryOf(w).isPresent() ? 1 : 0))
                        .toList();
        // Every workspace gets a home before a busy one gets another.
        for (int home = 1; home <= copies.size(); home++) {
            for (WorkspaceId workspace : workspaces) {
                double reads = demand.get(workspace).reads();
                int wanted = wantedHomes(reads, average, copies.size());
                if (home <= wanted) {
                    draft.addHome(workspace, reads / wanted, average, preferred(workspace, copies));
                }
            }
        }
        workspaces.stream()
                .filter(w -> draft.mHomes.getOrDefault(w, List.of()).isEmpty())
                .forEach(w -> draft.primaryOf(w).ifPresent(e -> draft.mHomes.put(w, List.of(e))));
    }

    private static int wantedHomes(double reads, double average, int copies) {
        return average <= 0 ? 1 : Math.min(copies, 1 + (int) (reads / (average * LOAD_PER_HOME)));
    }

    /** Returns the copies in the order in which they become homes of a workspace. */
    private List<EndpointId> preferred(WorkspaceId workspace, List<Copy> copies) {
        return copies.stream()
                .map(Copy::endpoint)
                .sorted(
                        Comparator.<EndpointId>comparingInt(e -> isHome(e, workspace) ? 0 : 1)
                                .thenComparingLong(e -> hash(workspace, e)))
                .toList();
    }

    private static long hash(WorkspaceId workspace, EndpointId endpoint) {
        String text = workspace.value() + "\n" + endpoint.value();
        return UUID.nameUUIDFromBytes(text.getBytes(StandardCharsets.UTF_8))
                .getLeastSignificantBits();
    }

    /** Collects a plan within one call. */
    private static final class Draft {
        private final Map<EndpointId, Map<WorkspaceId, Integer>> mConnections = new TreeMap<>();
        private final Map<EndpointId, Integer> mFree = new HashMap<>();
        private final Map<EndpointId, Double> mLoads = new HashMap<>();
        private final Map<WorkspaceId, List<EndpointId>> mHomes = new HashMap<>();

        private final Optional<EndpointId> mPrimary;

        Draft(List<Copy> copies) {
            mPrimary = copies.stream().filter(Copy::primary).map(Copy::endpoint).findFirst();
            copies.forEach(
                    copy -> {
                        mFree.put(copy.endpoint(), copy.connections());
                        mConnections.put(copy.endpoint(), new LinkedHashMap<>());
                    });
        }

        /** Returns the primary if a workspace holds a connection to it. */
        Optional<EndpointId> primaryOf(WorkspaceId workspace) {
            return mPrimary.filter(e -> mConnections.get(e).containsKey(workspace));
        }

        /** Plans the connections of a workspace to a copy, as far as there are any left. */
        boolean hold(EndpointId endpoint, WorkspaceId workspace, double callsPerSecond) {
            int wanted = 1 + (int) (callsPerSecond / CALLS_PER_CONNECTION);
            int held = Math.min(wanted, mFree.get(endpoint));
            if (held > 0) {
                mFree.merge(endpoint, -held, Integer::sum);
                mConnections.get(endpoint).merge(workspace, held, Integer::sum);
            }
            return held > 0;
        }

        /**
         * Adds the first copy that has room, preferably one without more than its share of load.
         */
        void addHome(
                WorkspaceId workspace, double reads, double average, List<EndpointId> preferred) {
            List<EndpointId> homes = mHomes.computeIfAbsent(workspace, w -> new ArrayList<>());
            List<EndpointId> able =
                    preferred.stream().filter(e -> !homes.contains(e) && mFree.get(e) > 0).toList();
            able.stream()
                    .filter(e -> mLoads.getOrDefault(e, 0.0) + reads <= average * MAX_LOAD_RATIO)
                    .findFirst()
                    .or(
                            () ->
                                    able.stream()
                                            .min(
                                                    Comparator.comparingDouble(
                                                            e -> mLoads.getOrDefault(e, 0.0))))
                    .filter(e -> hold(e, workspace, reads))
                    .ifPresent(
                            e -> {
                                homes.add(e);
                                mLoads.merge(e, reads, Double::sum);
                            });
        }
    }
}
