package org.crocusturn.daemon.controlhosts;

import org.crocusturn.core.controlhosts.LogEntry;
import org.crocusturn.core.controlhosts.Snapshot;
import org.crocusturn.daemon.wire.LogRecordCodec;

/** Encodes log entries and snapshots with protobuf. Immutable and safe for any thread. */
public final class ProtobufLogCodec implements LogCodec {
    /** Creates a codec. */
    public static ProtobufLogCodec create() {
        return new ProtobufLogCodec();
    }

    private ProtobufLogCodec() {}

    @Override
    public byte[] encodeEntry(LogEntry entry) {
        return LogRecordCodec.encodeEntry(entry);
    }

    @Override
    public LogEntry decodeEntry(byte[] bytes) {
        return LogRecordCodec.decodeEntry(bytes);
    }

    @Override
    public byte[] encodeSnapshot(Snapshot snapshot) {
        return LogRecordCodec.encodeSnapshot(snapshot);
    }

    @Override
    public Snapshot decodeSnapshot(byte[] bytes) {
        return LogRecordCodec.decodeSnapshot(bytes);
    }
}
