package org.crocusturn.core.operators;

import java.util.Objects;
import org.crocusturn.core.WorkspaceId;

/**
 * Identifies a workspace's data in one service.
 *
 * @param workspace the workspace
 * @param service name of the service
 */
public record PlacementKey(WorkspaceId workspace, String service) {
    /** Checks that no component is null. */
    public PlacementKey {
        Objects.requireNonNull(workspace, "workspace");
        Objects.requireNonNull(service, "service");
    }
}
