package org.crocusturn.core.controlhosts;

import java.util.Objects;
import java.util.Optional;
import org.crocusturn.core.HostId;

/**
 * Is what a member must have on disk before it answers, besides its log.
 *
 * @param term latest term that the member has seen
 * @param vote host that it voted for or followed in that term
 * @param recovering whether its log is incomplete because its disk was empty at a start; it then
 *     neither votes nor counts
 */
public record HardState(long term, Optional<HostId> vote, boolean recovering) {
    /** Checks that the vote is not null. */
    public HardState {
        Objects.requireNonNull(vote, "vote");
    }

    /** Creates the state before the first term. */
    public static HardState initial(boolean recovering) {
        return new HardState(0, Optional.empty(), recovering);
    }

    /** Returns the state in a term, with no vote if the term is new. */
    public HardState withTerm(long newTerm) {
        return newTerm > term ? new HardState(newTerm, Optional.empty(), recovering) : this;
    }

    /** Returns the state with a vote in the current term; an earlier vote stays. */
    public HardState withVote(HostId host) {
        return vote.isPresent() ? this : new HardState(term, Optional.of(host), recovering);
    }

    /** Returns the state of a member that may vote and count. */
    public HardState withRecovered() {
        return new HardState(term, vote, false);
    }
}
