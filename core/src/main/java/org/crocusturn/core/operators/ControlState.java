package org.crocusturn.core.operators;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.crocusturn.core.DataCentreId;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.GroupId;
import org.crocusturn.core.WorkspaceId;

/**
 * Is the replicated state that all committed commands led to.
 *
 * <p>Immutable. Control hosts own it; entry hosts hold a copy that they follow.
 *
 * @param version index of the last applied log entry
 * @param configuration configuration in force
 * @param keys keys in force, by the hash of the key
 * @param drained data centres out of service
 * @param endpoints announced endpoints
 * @param groups database groups
 * @param placements database of each workspace in each service
 * @param changes answers to the latest operators' changes, by change id
 */
public record ControlState(
        long version,
        Configuration configuration,
        Map<String, KeyRecord> keys,
        Set<DataCentreId> drained,
        Map<EndpointId, EndpointRecord> endpoints,
        Map<GroupId, GroupRecord> groups,
        Map<PlacementKey, String> placements,
        Map<String, ChangeOutcome> changes) {
    /** The state before the first command. */
    public static final ControlState EMPTY =
            new ControlState(
                    0,
                    Configuration.EMPTY,
                    Map.of(),
                    Set.of(),
                    Map.of(),
                    Map.of(),
                    Map.of(),
                    Map.of());

    /** Copies the collections. */
    public ControlState {
        keys = Map.copyOf(keys);
        drained = Set.copyOf(drained);
        endpoints = Map.copyOf(endpoints);
        groups = Map.copyOf(groups);
        placements = Map.copyOf(placements);
        changes = Map.copyOf(changes);
    }

    /** Returns the group that holds a workspace's data of a service, if it is placed. */
    public Optional<GroupId> groupOf(WorkspaceId workspace, String service) {
        return Optional.ofNullable(placements.get(new PlacementKey(workspace, service)))
                .map(database -> GroupId.of(service, database));
    }

    /** Returns whether an endpoint may get new work. */
    public boolean isInService(EndpointRecord endpoint) {
        return !endpoint.leaving() && !drained.contains(endpoint.dataCentre());
    }
}
