package org.crocusturn.core.operators;

import java.util.Collections;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.crocusturn.core.WorkspaceId;

/**
 * Requests of each workspace that endpoints began to run in one window of true time.
 *
 * <p>Immutable. Equal windows have equal encodings, because the workspaces are in order.
 *
 * @param number number of the window; window n begins n window lengths after the start of 1970
 * @param counts requests by workspace; a workspace without requests is left out
 */
public record UsageWindow(long number, SortedMap<WorkspaceId, Long> counts) {
    /** Copies the counts and checks that they are positive. */
    public UsageWindow {
        counts = Collections.unmodifiableSortedMap(new TreeMap<>(counts));
        if (counts.values().stream().anyMatch(count -> count <= 0)) {
            throw new IllegalArgumentException("counts must be positive: " + counts);
        }
    }

    /** Creates a window from counts in any order; counts of 0 are left out. */
    public static UsageWindow of(long number, Map<WorkspaceId, Long> counts) {
        SortedMap<WorkspaceId, Long> positive = new TreeMap<>(counts);
        positive.values().removeIf(count -> count == 0);
        return new UsageWindow(number, positive);
    }

    /** Returns the window without counts, for hosts that do not need them. */
    public UsageWindow withoutCounts() {
        return new UsageWindow(number, Collections.emptySortedMap());
    }
}
