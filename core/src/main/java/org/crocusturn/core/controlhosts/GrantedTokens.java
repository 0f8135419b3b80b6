package org.crocusturn.core.controlhosts;

import java.util.Objects;
import org.crocusturn.core.WorkspaceId;

/**
 * Is a grant of rate tokens in the time of this host.
 *
 * @param workspace the workspace
 * @param tokens number of requests that it allows
 * @param expiresNanos monotonic time from which unspent tokens are void
 */
public record GrantedTokens(WorkspaceId workspace, long tokens, long expiresNanos) {
    /** Checks that the workspace is not null. */
    public GrantedTokens {
        Objects.requireNonNull(workspace, "workspace");
    }
}
