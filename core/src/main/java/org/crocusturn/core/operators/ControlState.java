package org.crocusturn.core.operators;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.crocusturn.core.DataCentreId;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.GroupId;
import org.crocusturn.core.HostId;
import org.crocusturn.core.WorkspaceId;

/**
 * The replicated state that results from applying all committed commands.
 *
 * <p>Immutable. Control hosts own the state; entry hosts keep a copy that is updated from them.
 *
 * @param version index of the last applied log entry
 * @param configuration configuration in force
 * @param keys keys in force, by the hash of the key
 * @param drained data centres out of service
 * @param endpoints announced endpoints
 * @param groups database groups
 * @param placements database that holds the data of each workspace in each service
 * @param changes outcomes of the latest operators' changes, by change id
 * @param configurationChange change id of the configuration in force; empty before the first
 * @param withdrawn latest withdrawn key ids, with the state version of each withdrawal
 * @param drainOrders state version of the latest order to drain or restore each data centre
 * @param usage usage reports; on entry hosts without counts
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
        Map<String, Long> withdrawn,
        Map<DataCentreId, Long> drainOrders,
        UsageLedger usage) {
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
                    Map.of(),
                    Map.of(),
                    UsageLedger.EMPTY);

    /** Copies the collections. */
    public ControlState {
        keys = Map.copyOf(keys);
        drained = Set.copyOf(drained);
        endpoints = Map.copyOf(endpoints);
        groups = Map.copyOf(groups);
        placements = Map.copyOf(placements);
        changes = Map.copyOf(changes);
        withdrawn = Map.copyOf(withdrawn);
        drainOrders = Map.copyOf(drainOrders);
        Objects.requireNonNull(usage, "usage");
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
                Map.of(),
                Map.of(),
                UsageLedger.EMPTY);
    }

    /**
     * Returns the group that holds a workspace's data in a service, if the workspace has been
     * placed there.
     */
    public Optional<GroupId> groupOf(WorkspaceId workspace, String service) {
        return Optional.ofNullable(placements.get(new PlacementKey(workspace, service)))
                .map(database -> GroupId.of(service, database));
    }

    /** Returns whether the configuration in force has the group. */
    public boolean isConfigured(GroupId group) {
        return configuration
                .service(group.service())
                .filter(s -> s.databases().contains(group.database()))
                .isPresent();
    }

    /**
     * Returns whether endpoints of a service are recorded: the service is configured, or a group of
     * it had a leaseholder. A later configuration may have the service again, and what is known of
     * its logs must not be forgotten until then.
     */
    public boolean recordsEndpointsOf(String service) {
        return configuration.service(service).isPresent()
                || groups.keySet().stream().anyMatch(g -> g.service().equals(service));
    }

    /** Returns whether an endpoint may be given new work. */
    public boolean isInService(EndpointRecord endpoint) {
        return !endpoint.leaving() && !drained.contains(endpoint.dataCentre());
    }

    /** Returns the link addresses of all leaseholders except one host. */
    public Set<String> leaseholderLinkAddresses(HostId excludedHost) {
        return groups.values().stream()
                .flatMap(group -> group.leaseholder().stream())
                .filter(holder -> !holder.host().equals(excludedHost))
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
                withdrawn,
                drainOrders,
                usage);
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
                withdrawnIds,
                drainOrders,
                usage);
    }

    /**
     * Returns a copy in which a data centre was ordered out of service or back. Each order counts,
     * also one that changes nothing.
     */
    public ControlState withDrainOrder(DataCentreId dataCentre, boolean out) {
        Set<DataCentreId> nextDrained = new HashSet<>(drained);
        if (out) {
            nextDrained.add(dataCentre);
        } else {
            nextDrained.remove(dataCentre);
        }
        Map<DataCentreId, Long> nextOrders = new HashMap<>(drainOrders);
        nextOrders.put(dataCentre, version);
        return new ControlState(
                version,
                configuration,
                keys,
                nextDrained,
                endpoints,
                groups,
                placements,
                changes,
                configurationChange,
                withdrawn,
                nextOrders,
                usage);
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
                withdrawn,
                drainOrders,
                usage);
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
                withdrawn,
                drainOrders,
                usage);
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
                withdrawn,
                drainOrders,
                usage);
    }

    /** Returns a copy with other outcomes of operators' changes. */
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
                withdrawn,
                drainOrders,
                usage);
    }

    /** Returns a copy with another configuration and the id of the change that applied it. */
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
                withdrawn,
                drainOrders,
                usage);
    }

    /** Returns a copy with other usage reports. */
    public ControlState withUsage(UsageLedger value) {
        return new ControlState(
                version,
                configuration,
                keys,
                drained,
                endpoints,
                groups,
                placements,
                changes,
                configurationChange,
                withdrawn,
                drainOrders,
                value);
    }
}
