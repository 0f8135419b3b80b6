package org.crocusturn.core.entryhosts;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.GroupId;
import org.crocusturn.core.endpoints.CopyHealth;
import org.crocusturn.core.endpoints.CopyStatus;
import org.crocusturn.core.endpoints.EndpointHealth;
import org.crocusturn.core.endpoints.EndpointObservation;
import org.crocusturn.core.endpoints.FailoverPhase;
import org.crocusturn.core.endpoints.FailoverState;
import org.crocusturn.core.endpoints.FailureDetector;
import org.crocusturn.core.operators.ControlState;
import org.crocusturn.core.operators.DatabaseRecord;
import org.crocusturn.core.operators.EndpointRecord;
import org.crocusturn.core.operators.Service;
import org.pcollections.HashTreePMap;
import org.pcollections.HashTreePSet;
import org.pcollections.PMap;
import org.pcollections.PSet;

/**
 * Failover progress of all groups and health of all endpoints. Immutable.
 *
 * <p>An observation costs O(log endpoints); {@link #withState} costs O(groups + copies).
 *
 * @param groups failover progress by group
 * @param health health by endpoint
 * @param announcedNanos time of the last announcement by endpoint
 * @param copies endpoints that hold a copy of a group, sorted by name
 * @param sortedGroups all groups, sorted
 * @param inFailover groups whose phase is not healthy
 * @param declaredInstances declared number of instances by service
 */
public record FailoverTable(
        PMap<GroupId, FailoverState> groups,
        PMap<EndpointId, EndpointHealth> health,
        PMap<EndpointId, Long> announcedNanos,
        Map<GroupId, List<EndpointId>> copies,
        List<GroupId> sortedGroups,
        PSet<GroupId> inFailover,
        Map<String, Integer> declaredInstances) {
    /** Copies the plain maps. */
    public FailoverTable {
        Objects.requireNonNull(groups, "groups");
        Objects.requireNonNull(health, "health");
        Objects.requireNonNull(announcedNanos, "announcedNanos");
        copies = Map.copyOf(copies);
        sortedGroups = List.copyOf(sortedGroups);
        Objects.requireNonNull(inFailover, "inFailover");
        declaredInstances = Map.copyOf(declaredInstances);
    }

    /** Creates the table of a new leader. */
    public static FailoverTable of(ControlState state, long nowNanos) {
        return new FailoverTable(
                        HashTreePMap.empty(),
                        HashTreePMap.empty(),
                        HashTreePMap.empty(),
                        Map.of(),
                        List.of(),
                        HashTreePSet.empty(),
                        Map.of())
                .withState(state, nowNanos);
    }

    /** Returns the failover progress of a group, if the group exists. */
    public Optional<FailoverState> group(GroupId id) {
        return Optional.ofNullable(groups.get(id));
    }

    /** Returns the current health of all copies of a group; costs O(copies). */
    public List<CopyHealth> copyHealth(
            GroupId group,
            ControlState state,
            FailureDetector detector,
            long monitoredSinceNanos,
            long nowNanos) {
        List<CopyHealth> result = new ArrayList<>();
        for (EndpointId id : copies.getOrDefault(group, List.of())) {
            EndpointRecord endpoint = state.endpoints().get(id);
            EndpointHealth known = health.get(id);
            if (endpoint != null && known != null) {
                result.add(
                        new CopyHealth(
                                endpoint,
                                known.copy(group.database()),
                                known.lastSeenNanos(),
                                detector.failure(known, monitoredSinceNanos, nowNanos),
                                state.isInService(endpoint)));
            }
        }
        return result;
    }

    /** Returns the table after a change of the endpoints or the configuration. */
    public FailoverTable withState(ControlState state, long nowNanos) {
        Set<GroupId> configured =
                state.groups().keySet().stream()
                        .filter(state::isConfigured)
                        .collect(Collectors.toSet());
        PMap<GroupId, FailoverState> nextGroups = groups;
        for (GroupId id : configured) {
            if (!nextGroups.containsKey(id)) {
                nextGroups = nextGroups.plus(id, FailoverState.of(id, nowNanos));
            }
        }
        PMap<EndpointId, EndpointHealth> nextHealth = health;
        PMap<EndpointId, Long> nextAnnounced = announcedNanos;
        for (EndpointId id : state.endpoints().keySet()) {
            if (!nextHealth.containsKey(id)) {
                nextHealth = nextHealth.plus(id, EndpointHealth.unknown(id, nowNanos));
                nextAnnounced = nextAnnounced.plus(id, nowNanos);
            }
        }
        return new FailoverTable(
                nextGroups.minusAll(absent(nextGroups.keySet(), configured)),
                nextHealth.minusAll(absent(nextHealth.keySet(), state.endpoints().keySet())),
                nextAnnounced.minusAll(absent(nextAnnounced.keySet(), state.endpoints().keySet())),
                copiesOf(state),
                configured.stream().sorted().toList(),
                inFailover.minusAll(absent(inFailover, configured)),
                instancesOf(state));
    }

    /** Returns the table after an observation; unknown endpoints are ignored. */
    public FailoverTable with(EndpointObservation observation, long nowNanos) {
        EndpointHealth known = health.get(observation.endpoint());
        return known == null ? this : withHealth(known.with(observation, nowNanos));
    }

    /** Returns the table after an endpoint answered a command. */
    public FailoverTable with(EndpointId endpoint, CopyStatus status) {
        EndpointHealth known = health.get(endpoint);
        return known == null ? this : withHealth(known.withStatus(status));
    }

    /** Returns the table with new failover progress of a group. */
    public FailoverTable with(FailoverState failover) {
        PSet<GroupId> next =
                failover.phase() == FailoverPhase.HEALTHY
                        ? inFailover.minus(failover.group())
                        : inFailover.plus(failover.group());
        return new FailoverTable(
                groups.plus(failover.group(), failover),
                health,
                announcedNanos,
                copies,
                sortedGroups,
                next,
                declaredInstances);
    }

    /** Returns the table after an announcement of an endpoint. */
    public FailoverTable withAnnounced(EndpointId endpoint, long nowNanos) {
        return new FailoverTable(
                groups,
                health,
                announcedNanos.plus(endpoint, nowNanos),
                copies,
                sortedGroups,
                inFailover,
                declaredInstances);
    }

    private FailoverTable withHealth(EndpointHealth next) {
        return new FailoverTable(
                groups,
                health.plus(next.endpoint(), next),
                announcedNanos,
                copies,
                sortedGroups,
                inFailover,
                declaredInstances);
    }

    private static <K> List<K> absent(Collection<K> known, Collection<K> wanted) {
        return known.stream().filter(k -> !wanted.contains(k)).toList();
    }

    private static Map<GroupId, List<EndpointId>> copiesOf(ControlState state) {
        Map<GroupId, List<EndpointId>> result = new HashMap<>();
        for (EndpointId id : new TreeSet<>(state.endpoints().keySet())) {
            EndpointRecord endpoint = state.endpoints().get(id);
            for (DatabaseRecord database : endpoint.databases()) {
                result.computeIfAbsent(
                                GroupId.of(endpoint.service(), database.name()),
                                g -> new ArrayList<>())
                        .add(id);
            }
        }
        return result;
    }

    private static Map<String, Integer> instancesOf(ControlState state) {
        Map<String, Integer> result = new HashMap<>();
        for (Service service : state.configuration().services()) {
            result.put(service.name(), service.instances());
        }
        return result;
    }
}
