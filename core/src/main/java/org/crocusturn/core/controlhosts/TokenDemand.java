package org.crocusturn.core.controlhosts;

import java.util.Objects;
import org.crocusturn.core.WorkspaceId;

/**
 * Requests rate tokens of one workspace from the leader.
 *
 * @param workspace the workspace
 * @param wanted number of tokens that the host needs for waiting and expected requests
 * @param spentTotal tokens spent since the process started
 * @param held number of unspent valid tokens, including those granted by earlier leaders
 */
public record TokenDemand(WorkspaceId workspace, long wanted, long spentTotal, long held) {
    /** Checks the ranges. */
    public TokenDemand {
        Objects.requireNonNull(workspace, "workspace");
        if (wanted < 0 || spentTotal < 0 || held < 0) {
            throw new IllegalArgumentException("wanted, spentTotal and held must not be negative");
        }
    }

    /** Creates the demand of a process that does not report the tokens that it holds. */
    public TokenDemand(WorkspaceId workspace, long wanted, long spentTotal) {
        this(workspace, wanted, spentTotal, 0);
    }
}
