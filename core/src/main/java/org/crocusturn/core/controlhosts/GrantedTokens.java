package org.crocusturn.core.controlhosts;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import org.crocusturn.core.WorkspaceId;

/**
 * A grant of rate tokens whose expiry is given on the clock of this host.
 *
 * @param workspace the workspace
 * @param tokens number of requests that the grant allows
 * @param expiresNanos monotonic time at which unspent tokens expire
 */
public record GrantedTokens(WorkspaceId workspace, long tokens, long expiresNanos) {
    /** Checks that the workspace is not null. */
    public GrantedTokens {
        Objects.requireNonNull(workspace, "workspace");
    }

    /**
     * Divides the tokens among the groups of this host that serve the workspace.
     *
     * @param wanted number of tokens that each group needs
     * @return one part for each group, in the same order; the parts add up to this grant
     */
    public List<GrantedTokens> split(List<Long> wanted) {
        long remainingTokens = tokens;
        long remainingWanted = wanted.stream().mapToLong(Long::longValue).sum();
        List<GrantedTokens> parts = new ArrayList<>();
        for (int i = 0; i < wanted.size(); i++) {
            boolean last = i == wanted.size() - 1;
            long part =
                    last
                            ? remainingTokens
                            : remainingWanted == 0
                                    ? 0
                                    : Math.round(
                                            (double) remainingTokens
                                                    * wanted.get(i)
                                                    / remainingWanted);
            parts.add(new GrantedTokens(workspace, part, expiresNanos));
            remainingTokens -= part;
            remainingWanted -= wanted.get(i);
        }
        return parts;
    }
}
