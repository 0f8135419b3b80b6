package org.crocusturn.core.controlhosts;

import java.util.Objects;
import org.crocusturn.core.WorkspaceId;

/**
 * Asks the leader for rate tokens of one workspace.
 *
 * @param workspace the workspace
 * @param wanted tokens that the host would like to hold, for waiting and expected requests
 * @param spentTotal tokens spent since the process started
 * @param held tokens that it can still spend, those of earlier leaders included
 */
public record TokenDemand(WorkspaceId workspace, long wanted, long spentTotal, long held) {
    /** Checks the ranges. */
    public TokenDemand {
        Objects.requireNonNull(workspace, "workspace");
        if (wanted < 0 || spentTotal < 0 || held < 0) {
            throw new IllegalArgumentException("wanted, spentTotal and held must not be negative");
        }
    }

    /** Creates the demand of a process that does not tell what it holds. */
    public TokenDemand(WorkspaceId workspace, long wanted, long spentTotal) {
        this(workspace, wanted, spentTotal, 0);
    }
}
