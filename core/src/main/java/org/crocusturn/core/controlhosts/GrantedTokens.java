package org.crocusturn.core.controlhosts;

import java.util.ArrayList;
import java.util.List;
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

    /**
     * Divides the tokens among the groups of this host that serve the workspace.
     *
     * @param wanted tokens that each group would like to hold
     * @return one part for each group, in order; the parts add up to this grant
     */
    public List<GrantedTokens> split(List<Long> wanted) {
        long left = tokens;
        long open = wanted.stream().mapToLong(Long::longValue).sum();
        List<GrantedTokens> parts = new ArrayList<>();
        for (int i = 0; i < wanted.size(); i++) {
            boolean last = i == wanted.size() - 1;
            long part =
                    last ? left : open == 0 ? 0 : Math.round((double) left * wanted.get(i) / open);
            parts.add(new GrantedTokens(workspace, part, expiresNanos));
            left -= part;
            open -= wanted.get(i);
        }
        return parts;
    }
}
