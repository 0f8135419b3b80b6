package org.crocusturn.standin.database;

import java.util.Optional;
import org.crocusturn.core.callers.Role;

/**
 * The replication state of a copy and its valid transitions.
 *
 * @param role role of the copy
 * @param term highest known term; never decreases
 * @param source status address of the primary that the copy follows; empty if the copy is fenced or
 *     the primary
 * @param confirmed whether the primary of the term has confirmed that the copy's log is a prefix of
 *     its own
 */
record CopyState(Role role, long term, Optional<String> source, boolean confirmed) {
    static final CopyState INITIAL = new CopyState(Role.REPLICA, 0, Optional.empty(), false);

    boolean isPrimaryOf(long expectedTerm) {
        return role == Role.PRIMARY && term == expectedTerm;
    }

    boolean isFollowing(long expectedTerm, String address) {
        return term == expectedTerm && source.filter(address::equals).isPresent();
    }

    /** Returns the state after a fence; fencing at the current term has no effect. */
    CopyState withFence(long newTerm) {
        rejectLowerTerm(newTerm);
        return newTerm == term
                ? this
                : new CopyState(Role.REPLICA, newTerm, Optional.empty(), false);
    }

    /**
     * Returns the state after a promotion; a copy that follows a primary requires a higher term.
     */
    CopyState withPromotion(long newTerm) {
        rejectLowerTerm(newTerm);
        if (newTerm == term && source.isPresent()) {
            throw RefusedException.conflict(
                    "has_primary", "term " + newTerm + " already has another primary");
        }
        return new CopyState(Role.PRIMARY, newTerm, Optional.empty(), true);
    }

    /** Returns the state after a command to follow a primary. */
    CopyState withSource(long newTerm, String address) {
        rejectLowerTerm(newTerm);
        if (isPrimaryOf(newTerm)) {
            throw RefusedException.conflict(
                    "is_primary", "the copy is the primary of term " + newTerm);
        }
        return isFollowing(newTerm, address)
                ? this
                : new CopyState(Role.REPLICA, newTerm, Optional.of(address), false);
    }

    /** Returns the state after the primary has confirmed the log. */
    CopyState withConfirmation() {
        return new CopyState(role, term, source, true);
    }

    private void rejectLowerTerm(long newTerm) {
        if (newTerm < term) {
            throw RefusedException.conflict(
                    "old_term", "term " + newTerm + " is lower than term " + term + " of the copy");
        }
    }
}
