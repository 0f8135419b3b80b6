package org.crocusturn.core.operators;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.crocusturn.core.DataCentreId;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.GroupId;
import org.crocusturn.core.HostId;
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
 * @param configurationChange change id of the configuration in force; empty before the first
 * @param withdrawn latest withdrawn key ids, each with the version of its withdrawal
 */
public record ControlState(
        long version,
        Configuration configuration,
        Map<String, KeyRecord> keys,
        Set<DataCentreId> drained,
        Map<EndpointId, EndpointRecord> endpoints,
        Map<GroupId, GroupRecord> groups,
        Map<PlacementKey, String> placements,
        Map<String, ChangeOutcome> changes,
        String configurationChange,
        Map<String, Long> withdrawn) {
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
                    Map.of(),
                    "",
                    Map.of());

    /** Copies the collections. */
    public ControlState {
        keys = Map.copyOf(keys);
        drained = Set.copyOf(drained);
        endpoints = Map.copyOf(endpoints);
        groups = Map.copyOf(groups);
        placements = Map.copyOf(placements);
        changes = Map.copyOf(changes);
        withdrawn = Map.copyOf(withdrawn);
    }

    /** Creates a state without the id of its configuration change and without withdrawn keys. */
    public ControlState(
            long version,
            Configuration configuration,
            Map<String, KeyRecord> keys,
            Set<DataCentreId> drained,
            Map<EndpointId, EndpointRecord> endpoints,
            Map<GroupId, GroupRecord> groups,
            Map<PlacementKey, String> placements,
            Map<String, ChangeOutcome> changes) {
        this(
                version,
                configuration,
                keys,
                drained,
                endpoints,
                groups,
                placements,
                changes,
                "",
                Map.of());
    }

    /** Returns a copy without the text of the configuration, for hosts that never show it. */
    public ControlState withoutDocument() {
        return withConfiguration(configuration.withoutDocument(), configurationChange);
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

    /** Returns the link addresses of all leaseholders but one host. */
    public Set<String> leaseholderLinks(HostId except) {
        return groups.values().stream()
                .flatMap(group -> group.leaseholder().stream())
                .filter(holder -> !holder.host().equals(except))
                .map(Leaseholder::linkAddress)
                .collect(Collectors.toSet());
    }

    /** Returns a copy at another version. */
    public ControlState withVersion(long value) {
        return new ControlState(
                value,
                configuration,
                keys,
                drained,
                endpoints,
                groups,
                placements,
                changes,
                configurationChange,
                withdrawn);
    }

    /** Returns a copy with other keys and withdrawn key ids. */
    public ControlState withKeys(Map<String, KeyRecord> value, Map<String, Long> withdrawnIds) {
        return new ControlState(
                version,
                configuration,
                value,
                drained,
                endpoints,
                groups,
                placements,
                changes,
                configurationChange,
                withdrawnIds);
    }

    /** Returns a copy with other data centres out of service. */
    public ControlState withDrained(Set<DataCentreId> value) {
        return new ControlState(
                version,
                configuration,
                keys,
                value,
                endpoints,
                groups,
                placements,
                changes,
                configurationChange,
                withdrawn);
    }

    /** Returns a copy with other endpoints. */
    public ControlState withEndpoints(Map<EndpointId, EndpointRecord> value) {
        return new ControlState(
                version,
                configuration,
                keys,
                drained,
                value,
                groups,
                placements,
                changes,
                configurationChange,
                withdrawn);
    }

    /** Returns a copy with other groups. */
    public ControlState withGroups(Map<GroupId, GroupRecord> value) {
        return new ControlState(
                version,
                configuration,
                keys,
                drained,
                endpoints,
                value,
                placements,
                changes,
                configurationChange,
                withdrawn);
    }

    /** Returns a copy with other placements. */
    public ControlState withPlacements(Map<PlacementKey, String> value) {
        return new ControlState(
                version,
                configuration,
                keys,
                drained,
                endpoints,
                groups,
                value,
                changes,
                configurationChange,
                withdrawn);
    }

    /** Returns a copy with other answers to operators' changes. */
    public ControlState withChanges(Map<String, ChangeOutcome> value) {
        return new ControlState(
                version,
                configuration,
                keys,
                drained,
                endpoints,
                groups,
                placements,
                value,
                configurationChange,
                withdrawn);
    }

    /** Returns a copy with another configuration and the id of the change that brought it. */
    public ControlState withConfiguration(Configuration value, String changeId) {
        return new ControlState(
                version,
                value,
                keys,
                drained,
                endpoints,
                groups,
                placements,
                changes,
                changeId,
                withdrawn);
    }
}
