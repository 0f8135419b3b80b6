package org.crocusturn.core.controlhosts;

import java.util.HashMap;
import java.util.Map;
import org.crocusturn.core.HostId;

/**
 * Is what a control host keeps on disk about first starts.
 *
 * @param own number of its own data folder
 * @param others numbers of the other hosts' folders, as each of them stated it first
 */
public record FirstStartIds(long own, Map<HostId, Long> others) {
    /** Copies the map. */
    public FirstStartIds {
        others = Map.copyOf(others);
    }

    /** Creates the content for a new data folder. */
    public static FirstStartIds of(long own) {
        return new FirstStartIds(own, Map.of());
    }

    /** Returns a copy that knows the number of one more host; a known one stays. */
    public FirstStartIds with(HostId host, long startId) {
        Map<HostId, Long> all = new HashMap<>(others);
        all.putIfAbsent(host, startId);
        return new FirstStartIds(own, all);
    }
}
