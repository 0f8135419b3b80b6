package org.crocusturn.core.endpoints;

import java.util.List;
import java.util.Objects;
import org.crocusturn.core.LogPosition;

/** Chooses the copy that runs a statement; a decision is linear in the number of copies. */
public interface RoutingPolicy {
    /** Returns where a statement should run now. */
    Route route(Query query);

    /**
     * Returns whether the answer of a replica satisfies the query. A replica that was rebuilt since
     * its last status may be at an earlier position.
     *
     * @param query state at the time of the answer
     * @param readPosition last position visible to the read
     */
    default boolean accepts(Query query, LogPosition readPosition) {
        return true;
    }

    /**
     * The state that a routing decision depends on.
     *
     * @param replicas copies other than the primary, those with the most free slots first
     * @param history start indexes of the terms of the group
     * @param required position that the statement must see
     * @param firstRoutedNanos monotonic time of the first routing attempt
     * @param nowNanos current monotonic time
     */
    record Query(
            List<CopyView> replicas,
            TermHistory history,
            LogPosition required,
            long firstRoutedNanos,
            long nowNanos) {
        /** Rejects null components. */
        public Query {
            Objects.requireNonNull(replicas, "replicas");
            Objects.requireNonNull(history, "history");
            Objects.requireNonNull(required, "required");
        }
    }
}
