package org.crocusturn.daemon.controlhosts;

import java.util.List;
import java.util.Objects;
import org.crocusturn.core.controlhosts.HardState;
import org.crocusturn.core.controlhosts.LogEntry;
import org.crocusturn.core.controlhosts.Snapshot;

/**
 * Is what a data folder holds.
 *
 * @param hard term, vote and recovery
 * @param base latest snapshot
 * @param entries entries after the snapshot, without gaps
 */
public record StoredLog(HardState hard, Snapshot base, List<LogEntry> entries) {
    /** Copies the entries. */
    public StoredLog {
        Objects.requireNonNull(hard, "hard");
        Objects.requireNonNull(base, "base");
        entries = List.copyOf(entries);
    }
}
