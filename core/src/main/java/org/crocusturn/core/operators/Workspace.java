package org.crocusturn.core.operators;

import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.crocusturn.core.WorkspaceId;

/**
 * Is a workspace as an operator declares it.
 *
 * @param id name of the workspace
 * @param rate its rate and burst across the fleet
 * @param services names of the services that it may use
 * @param databases database chosen by the operator, by service; a service that is missing here is
 *     placed by hashing
 */
public record Workspace(
        WorkspaceId id, RateLimit rate, Set<String> services, Map<String, String> databases) {
    /** Copies the collections. */
    public Workspace {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(rate, "rate");
        services = Set.copyOf(services);
        databases = Map.copyOf(databases);
    }
}
