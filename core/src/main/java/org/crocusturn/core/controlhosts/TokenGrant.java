package org.crocusturn.core.controlhosts;

import java.util.Objects;
import org.crocusturn.core.WorkspaceId;

/**
 * Gives rate tokens to an entry host.
 *
 * @param workspace the workspace
 * @param id number of the grant, unique within the leader's term; a repeated grant counts once
 * @param tokens number of requests that it allows
 * @param durationMillis time after which unspent tokens are void, counted from the sending of the
 *     report that the update answers, in milliseconds
 */
public record TokenGrant(WorkspaceId workspace, long id, long tokens, long durationMillis) {
    /** Checks that the workspace is not null. */
    public TokenGrant {
        Objects.requireNonNull(workspace, "workspace");
    }
}
