package org.crocusturn.daemon.controlhosts;

import org.crocusturn.core.CrocusturnException;
import org.crocusturn.core.controlhosts.LogEntry;
import org.crocusturn.core.controlhosts.Snapshot;
import org.crocusturn.daemon.wire.LogRecordCodec;

/**
 * Converts log entries and snapshots to the protobuf bytes that a control host stores.
 *
 * <p>Immutable. The bytes carry a version but no checksum.
 */
public final class ProtobufLogCodec {
    private ProtobufLogCodec() {}

    /** Creates the codec. */
    public static ProtobufLogCodec create() {
        return new ProtobufLogCodec();
    }

    /** Returns the bytes of a log entry. */
    public byte[] encodeEntry(LogEntry entry) {
        return LogRecordCodec.encodeEntry(entry);
    }

    /**
     * Reads a log entry.
     *
     * @throws CrocusturnException if the bytes are malformed or of an unknown version
     */
    public LogEntry decodeEntry(byte[] bytes) {
        return LogRecordCodec.decodeEntry(bytes);
    }

    /** Returns the bytes of a snapshot; equal snapshots have equal bytes. */
    public byte[] encodeSnapshot(Snapshot snapshot) {
        return LogRecordCodec.encodeSnapshot(snapshot);
    }

    /**
     * Reads a snapshot.
     *
     * @throws CrocusturnException if the bytes are malformed or of an unknown version
     */
    public Snapshot decodeSnapshot(byte[] bytes) {
        return LogRecordCodec.decodeSnapshot(bytes);
    }
}
