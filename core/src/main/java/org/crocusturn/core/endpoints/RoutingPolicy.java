package org.crocusturn.core.endpoints;

import java.util.List;
import java.util.Objects;
import org.crocusturn.core.LogPosition;

/** Chooses the copy that runs a statement; the decision looks at each copy of the group once. */
public interface RoutingPolicy {
    /** Returns where a statement should run now. */
    Route route(Query query);

    /**
     * Returns whether the answer of a replica fits the query; a replica that was rebuilt since it
     * was seen last may have gone back.
     *
     * @param query situation at the time of the answer
     * @param seen last position that the read saw
     */
    default boolean accepts(Query query, LogPosition seen) {
        return true;
    }

    /**
     * Is the situation in which a statement is routed.
     *
     * @param replicas copies other than the primary, the least busy first
     * @param history terms of the group
     * @param required position that the session has seen
     * @param firstRoutedNanos monotonic time at which the statement was routed first
     * @param nowNanos current monotonic time
     */
    record Query(
            List<CopyView> replicas,
            TermHistory history,
            LogPosition required,
            long firstRoutedNanos,
            long nowNanos) {
        /** Checks that no part is null. */
        public Query {
            Objects.requireNonNull(replicas, "replicas");
            Objects.requireNonNull(history, "history");
            Objects.requireNonNull(required, "required");
        }
    }
}
