package org.crocusturn.core.controlhosts;

import java.util.Objects;
import org.crocusturn.core.WorkspaceId;

/**
 * Asks the leader for rate tokens of one workspace.
 *
 * @param workspace the workspace
 * @param wanted tokens that the host would like to hold, for waiting and expected requests
 * @param spentTotal tokens spent since the process started
 */
public record TokenDemand(WorkspaceId workspace, long wanted, long spentTotal) {
    /** Checks the ranges. */
    public TokenDemand {
        Objects.requireNonNull(workspace, "workspace");
        if (wanted < 0 || spentTotal < 0) {
            throw new IllegalArgumentException("wanted and spentTotal must not be negative");
        }
    }
}
