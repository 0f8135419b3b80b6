package org.crocusturn.core.operators;

import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.crocusturn.core.WorkspaceId;

/**
 * A workspace, as declared by an operator.
 *
 * @param id name of the workspace
 * @param rate rate limit of the workspace, in total for all hosts
 * @param services names of the services that the workspace may use
 * @param databases database chosen by the operator, by service; for a service that is not listed,
 *     the database is chosen by rendezvous hashing
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
