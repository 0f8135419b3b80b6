package org.crocusturn.daemon.controlhosts;

import org.crocusturn.core.controlhosts.LogEntry;
import org.crocusturn.core.controlhosts.Snapshot;

/**
 * Encodes what the data folder holds; checksums are added by the storage.
 *
 * <p>Decoding throws a {@link RuntimeException} if the bytes are no valid value.
 */
public interface LogCodec {
    /** Returns the bytes of an entry. */
    byte[] encodeEntry(LogEntry entry);

    /** Returns the entry of its bytes. */
    LogEntry decodeEntry(byte[] bytes);

    /** Returns the bytes of a snapshot. */
    byte[] encodeSnapshot(Snapshot snapshot);

    /** Returns the snapshot of its bytes. */
    Snapshot decodeSnapshot(byte[] bytes);
}
