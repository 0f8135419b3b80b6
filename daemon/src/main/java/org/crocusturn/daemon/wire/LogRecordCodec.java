package org.crocusturn.daemon.wire;

import org.crocusturn.core.CrocusturnException;
import org.crocusturn.core.controlhosts.LogEntry;
import org.crocusturn.core.controlhosts.Snapshot;
import org.crocusturn.daemon.generated.ControlHostsProto;

/**
 * Encodes and decodes the log entries and snapshots that a control host stores.
 *
 * <p>The encoding contains a version but no checksum.
 */
public final class LogRecordCodec {
    private LogRecordCodec() {}

    /** Encodes a log entry. */
    public static byte[] encodeEntry(LogEntry entry) {
        return ControlHostsProto.StoredEntry.newBuilder()
                .setVersion(WireFormat.VERSION)
                .setEntry(LogMapper.encode(entry))
                .build()
                .toByteArray();
    }

    /**
     * Decodes a log entry.
     *
     * @throws CrocusturnException if the bytes are malformed or have an unknown version
     */
    public static LogEntry decodeEntry(byte[] bytes) {
        return WireFormat.decode(
                "log entry", () -> decodeStored(ControlHostsProto.StoredEntry.parseFrom(bytes)));
    }

    /** Encodes a snapshot; equal snapshots have equal encodings. */
    public static byte[] encodeSnapshot(Snapshot snapshot) {
        return ControlHostsProto.StoredSnapshot.newBuilder()
                .setVersion(WireFormat.VERSION)
                .setSnapshot(LogMapper.encode(snapshot))
                .build()
                .toByteArray();
    }

    /**
     * Decodes a snapshot.
     *
     * @throws CrocusturnException if the bytes are malformed or have an unknown version
     */
    public static Snapshot decodeSnapshot(byte[] bytes) {
        return WireFormat.decode(
                "snapshot", () -> decodeStored(ControlHostsProto.StoredSnapshot.parseFrom(bytes)));
    }

    private static LogEntry decodeStored(ControlHostsProto.StoredEntry value) {
        WireFormat.requireVersion(value.getVersion());
        return LogMapper.decode(value.getEntry());
    }

    private static Snapshot decodeStored(ControlHostsProto.StoredSnapshot value) {
        WireFormat.requireVersion(value.getVersion());
        return LogMapper.decode(value.getSnapshot());
    }
}
