package org.crocusturn.core.controlhosts;

import java.util.Objects;
import org.crocusturn.core.WorkspaceId;

/**
 * Grants rate tokens to an entry host.
 *
 * @param workspace the workspace
 * @param id number of the grant, unique within the leader's term; a repeated grant counts once
 * @param tokens number of requests that the grant allows
 * @param durationMillis time after which unspent tokens expire, counted from the sending of the
 *     report that the update answers, in milliseconds
 */
public record TokenGrant(WorkspaceId workspace, long id, long tokens, long durationMillis) {
    /** Checks that the workspace is not null. */
    public TokenGrant {
        Objects.requireNonNull(workspace, "workspace");
    }
}
