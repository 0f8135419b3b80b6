package org.crocusturn.daemon.controlhosts;

import java.util.List;
import java.util.Objects;
import org.crocusturn.core.controlhosts.HardState;
import org.crocusturn.core.controlhosts.LogEntry;
import org.crocusturn.core.controlhosts.Snapshot;

/**
 * Is what a data folder holds.
 *
 * @param hardState term, vote and recovery
 * @param snapshot latest snapshot
 * @param entries entries after the snapshot, without gaps
 */
public record StoredLog(HardState hardState, Snapshot snapshot, List<LogEntry> entries) {
    /** Copies the entries. */
    public StoredLog {
        Objects.requireNonNull(hardState, "hard");
        Objects.requireNonNull(snapshot, "base");
        entries = List.copyOf(entries);
    }
}
