package org.crocusturn.standin.database;

import java.util.Optional;
import org.crocusturn.core.callers.Role;

/**
 * Is the part that a copy plays, with the rules of its changes.
 *
 * @param role role
 * @param term highest term that the copy knows; never decreases
 * @param source status address of the primary that it follows; empty while it is fenced or primary
 * @param confirmed whether the primary of the term confirmed that the copy's log is part of its own
 */
record CopyState(Role role, long term, Optional<String> source, boolean confirmed) {
    static final CopyState INITIAL = new CopyState(Role.REPLICA, 0, Optional.empty(), false);

    boolean isPrimaryOf(long expectedTerm) {
        return role == Role.PRIMARY && term == expectedTerm;
    }

    boolean isFollowing(long expectedTerm, String address) {
        return term == expectedTerm && source.filter(address::equals).isPresent();
    }

    /** Returns the state after a fence; a fence at the present term changes nothing. */
    CopyState withFence(long newTerm) {
        rejectLowerTerm(newTerm);
        return newTerm == term
                ? this
                : new CopyState(Role.REPLICA, newTerm, Optional.empty(), false);
    }

    /** Returns the state after a promotion; a copy that follows a primary needs a higher term. */
    CopyState withPromotion(long newTerm) {
        rejectLowerTerm(newTerm);
        if (newTerm == term && source.isPresent()) {
            throw RefusedException.conflict(
                    "has_primary", "term " + newTerm + " has another primary");
        }
        return new CopyState(Role.PRIMARY, newTerm, Optional.empty(), true);
    }

    /** Returns the state of a copy that follows a primary. */
    CopyState withSource(long newTerm, String address) {
        rejectLowerTerm(newTerm);
        if (isPrimaryOf(newTerm)) {
            throw RefusedException.conflict(
                    "is_primary", "the copy is itself the primary of term " + newTerm);
        }
        return isFollowing(newTerm, address)
                ? this
                : new CopyState(Role.REPLICA, newTerm, Optional.of(address), false);
    }

    /** Returns the state after the primary confirmed the log. */
    CopyState withConfirmation() {
        return new CopyState(role, term, source, true);
    }

    private void rejectLowerTerm(long newTerm) {
        if (newTerm < term) {
            throw RefusedException.conflict(
                    "old_term", "term " + newTerm + " is below term " + term + " of the copy");
        }
    }
}
