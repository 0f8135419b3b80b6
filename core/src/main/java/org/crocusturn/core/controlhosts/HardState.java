package org.crocusturn.core.controlhosts;

import java.util.Objects;
import java.util.Optional;
import org.crocusturn.core.HostId;

/**
 * The state, besides the log, that a member has to sync before it answers.
 *
 * @param term latest term that the member has seen
 * @param vote host that the member voted for or followed in that term
 * @param recovering whether the log is incomplete because the disk was empty at a start; the member
 *     then neither votes nor counts for a majority
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

    /** Returns the state with a newer term and no vote; an older or equal term changes nothing. */
    public HardState withTerm(long newTerm) {
        return newTerm > term ? new HardState(newTerm, Optional.empty(), recovering) : this;
    }

    /** Returns the state with a vote in the current term; an earlier vote is kept. */
    public HardState withVote(HostId host) {
        return vote.isPresent() ? this : new HardState(term, Optional.of(host), recovering);
    }

    /** Returns the state of a member that may vote and counts again. */
    public HardState withRecovered() {
        return new HardState(term, vote, false);
    }
}
