package org.crocusturn.core.controlhosts;

import java.util.HashMap;
import java.util.Map;
import org.crocusturn.core.HostId;

/**
 * The ids of data folders that a control host stores for first starts.
 *
 * @param own id of its own data folder
 * @param others ids of the data folders of other hosts; the first id of each host is kept
 */
public record FirstStartIds(long own, Map<HostId, Long> others) {
    /** Copies the map. */
    public FirstStartIds {
        others = Map.copyOf(others);
    }

    /** Creates the ids of a new data folder. */
    public static FirstStartIds of(long own) {
        return new FirstStartIds(own, Map.of());
    }

    /** Returns a copy with the id of another host; a known id is kept. */
    public FirstStartIds withId(HostId host, long startId) {
        Map<HostId, Long> updatedIds = new HashMap<>(others);
        updatedIds.putIfAbsent(host, startId);
        return new FirstStartIds(own, updatedIds);
    }
}
