package org.crocusturn.daemon.controlhosts;

import org.crocusturn.core.controlhosts.LogEntry;
import org.crocusturn.core.controlhosts.Snapshot;

/**
 * Encodes the log entries and snapshots of the data folder. The storage adds the checksums.
 *
 * <p>The decode methods throw a {@link RuntimeException} if the bytes are not valid.
 */
public interface LogCodec {
    /** Encodes an entry. */
    byte[] encodeEntry(LogEntry entry);

    /** Decodes an entry. */
    LogEntry decodeEntry(byte[] bytes);

    /** Encodes a snapshot. */
    byte[] encodeSnapshot(Snapshot snapshot);

    /** Decodes a snapshot. */
    Snapshot decodeSnapshot(byte[] bytes);
}
