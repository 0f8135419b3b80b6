package org.crocusturn.daemon.controlhosts;

import java.util.List;
import java.util.Objects;
import org.crocusturn.core.controlhosts.HardState;
import org.crocusturn.core.controlhosts.LogEntry;
import org.crocusturn.core.controlhosts.Snapshot;

/**
 * The log that was loaded from a data folder.
 *
 * @param hardState term, vote and whether the member is recovering
 * @param snapshot latest snapshot
 * @param entries all entries after the snapshot, without gaps
 */
public record StoredLog(HardState hardState, Snapshot snapshot, List<LogEntry> entries) {
    /** Copies the entries. */
    public StoredLog {
        Objects.requireNonNull(hardState, "hardState");
        Objects.requireNonNull(snapshot, "snapshot");
        entries = List.copyOf(entries);
    }
}
