package org.crocusturn.core.entryhosts;

import java.util.Objects;
import java.util.Optional;
import org.crocusturn.core.operators.Leaseholder;

/**
 * Leaseholder of a group as an entry host knows it. Immutable.
 *
 * @param leaseholder the leaseholder, if there is one
 * @param sinceNanos time at which the host learned of it, or that there is none, in nanoseconds
 */
public record GroupService(Optional<Leaseholder> leaseholder, long sinceNanos) {
    /** Checks that the leaseholder is not null. */
    public GroupService {
        Objects.requireNonNull(leaseholder, "leaseholder");
    }

    /** Returns the same group after a change of the replicated state. */
    public GroupService with(Optional<Leaseholder> next, long nowNanos) {
        return next.equals(leaseholder) ? this : new GroupService(next, nowNanos);
    }
}
