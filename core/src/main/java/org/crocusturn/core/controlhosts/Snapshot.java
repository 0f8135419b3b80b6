package org.crocusturn.core.controlhosts;

import java.util.Objects;
import org.crocusturn.core.LogPosition;
import org.crocusturn.core.operators.ControlState;

/**
 * The replicated state and the membership at a position of the log.
 *
 * @param position position of the last entry that the snapshot covers
 * @param membership consensus group at that position
 * @param state replicated state at that position
 */
public record Snapshot(LogPosition position, Membership membership, ControlState state) {
    /** Checks that no part is null. */
    public Snapshot {
        Objects.requireNonNull(position, "position");
        Objects.requireNonNull(membership, "membership");
        Objects.requireNonNull(state, "state");
    }
}
