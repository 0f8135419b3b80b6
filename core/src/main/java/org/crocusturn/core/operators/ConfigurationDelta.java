package org.crocusturn.core.operators;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.crocusturn.core.WorkspaceId;

/**
 * The difference between two configurations. Most changes concern a few elements of a configuration
 * of many, and each entry host receives them.
 *
 * <p>Elements are told apart by the id of a workspace, the name of a service, the hash of a key and
 * the database of a route, which {@link ConfigurationValidator} requires to be unique. The order of
 * the elements and the operator's text are not part of the difference.
 *
 * @param baseVersion version of the configuration to which the difference applies
 * @param changed the later configuration; of its workspaces, services, keys and routes only those
 *     that were added or changed
 * @param removedWorkspaces ids of the removed workspaces
 * @param removedServices names of the removed services
 * @param removedKeys hashes of the removed keys
 * @param removedRoutes databases of the removed routes
 */
public record ConfigurationDelta(
        long baseVersion,
        Configuration changed,
        Set<WorkspaceId> removedWorkspaces,
        Set<String> removedServices,
        Set<String> removedKeys,
        Set<String> removedRoutes) {
    /** Approximate size of the name of a removed element in memory, in bytes. */
    private static final long NAME_BYTES = 150;

    /** Copies the collections. */
    public ConfigurationDelta {
        Objects.requireNonNull(changed, "changed");
        removedWorkspaces = Set.copyOf(removedWorkspaces);
        removedServices = Set.copyOf(removedServices);
        removedKeys = Set.copyOf(removedKeys);
        removedRoutes = Set.copyOf(removedRoutes);
    }

    /** Returns the difference that leads from one configuration to another. */
    public static ConfigurationDelta between(Configuration base, Configuration next) {
        return new ConfigurationDelta(
                base.version(),
                withElements(
                        next,
                        added(base.workspaces(), next.workspaces()),
                        added(base.services(), next.services()),
                        added(base.keys(), next.keys()),
                        added(base.routes(), next.routes())),
                removed(base.workspaces(), next.workspaces(), Workspace::id),
                removed(base.services(), next.services(), Service::name),
                removed(base.keys(), next.keys(), KeyRecord::hash),
                removed(base.routes(), next.routes(), Route::database));
    }

    /**
     * Returns the later configuration.
     *
     * @param base the earlier configuration
     * @throws IllegalArgumentException if the difference applies to another version
     */
    public Configuration applyTo(Configuration base) {
        if (base.version() != baseVersion) {
            throw new IllegalArgumentException(
                    "a difference to configuration "
                            + baseVersion
                            + " does not apply to configuration "
                            + base.version());
        }
        return withElements(
                changed,
                patched(base.workspaces(), changed.workspaces(), removedWorkspaces, Workspace::id),
                patched(base.services(), changed.services(), removedServices, Service::name),
                patched(base.keys(), changed.keys(), removedKeys, KeyRecord::hash),
                patched(base.routes(), changed.routes(), removedRoutes, Route::database));
    }

    /** Returns the approximate size of the difference in memory, in bytes. */
    public long approximateBytes() {
        long names =
                (long) removedWorkspaces.size()
                        + removedServices.size()
                        + removedKeys.size()
                        + removedRoutes.size();
        return changed.approximateBytes() + NAME_BYTES * names;
    }

    private static Configuration withElements(
            Configuration configuration,
            List<Workspace> workspaces,
            List<Service> services,
            List<KeyRecord> keys,
            List<Route> routes) {
        return new Configuration(
                configuration.version(),
                configuration.dataCentres(),
                workspaces,
                services,
                configuration.openRoutes(),
                configuration.dataCentreStates(),
                keys,
                routes,
                configuration.sessionLimits(),
                "");
    }

    private static <V> List<V> added(List<V> base, List<V> next) {
        Set<V> known = Set.copyOf(base);
        return next.stream().filter(value -> !known.contains(value)).toList();
    }

    private static <K, V> Set<K> removed(List<V> base, List<V> next, Function<V, K> key) {
        Set<K> kept = next.stream().map(key).collect(Collectors.toSet());
        return base.stream()
                .map(key)
                .filter(value -> !kept.contains(value))
                .collect(Collectors.toSet());
    }

    private static <K, V> List<V> patched(
            List<V> base, List<V> changed, Set<K> removed, Function<V, K> key) {
        Map<K, V> values = new LinkedHashMap<>();
        base.forEach(value -> values.put(key.apply(value), value));
        values.keySet().removeAll(removed);
        changed.forEach(value -> values.put(key.apply(value), value));
        return List.copyOf(values.values());
    }
}
