package org.crocusturn.daemon.controlhosts;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.crocusturn.core.HostId;
import org.crocusturn.core.controlhosts.HardState;
import org.crocusturn.core.controlhosts.LogEntry;

/** Encodes the payloads of the log file and the hard state file. */
final class LogRecords {
    private static final int FORMAT_VERSION = 1;

    private LogRecords() {}

    /**
     * A change of the log that one persist requests.
     *
     * @param fromIndex index of the first new entry; existing entries from there on are removed
     * @param entries new entries
     */
    record Change(long fromIndex, List<LogEntry> entries) {}

    static byte[] encodeHardState(HardState hardState) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeByte(FORMAT_VERSION);
        out.writeLong(hardState.term());
        out.writeBoolean(hardState.recovering());
        out.writeUTF(hardState.vote().map(HostId::value).orElse(""));
        return bytes.toByteArray();
    }

    static HardState decodeHardState(byte[] payload) throws IOException {
        DataInputStream in = openRecord(payload);
        long term = in.readLong();
        boolean recovering = in.readBoolean();
        Optional<HostId> vote =
                Optional.of(in.readUTF()).filter(name -> !name.isEmpty()).map(HostId::of);
        return new HardState(term, vote, recovering);
    }

    static byte[] encodeChanges(List<Change> changes, LogCodec codec) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeByte(FORMAT_VERSION);
        out.writeInt(changes.size());
        for (Change change : changes) {
            out.writeLong(change.fromIndex());
            out.writeInt(change.entries().size());
            for (LogEntry entry : change.entries()) {
                byte[] encoded = codec.encodeEntry(entry);
                out.writeInt(encoded.length);
                out.write(encoded);
            }
        }
        return bytes.toByteArray();
    }

    static List<Change> decodeChanges(byte[] payload, LogCodec codec) throws IOException {
        DataInputStream in = openRecord(payload);
        List<Change> changes = new ArrayList<>();
        for (int remaining = in.readInt(); remaining > 0; remaining--) {
            long fromIndex = in.readLong();
            List<LogEntry> entries = new ArrayList<>();
            for (int n = in.readInt(); n > 0; n--) {
                entries.add(codec.decodeEntry(in.readNBytes(in.readInt())));
            }
            changes.add(new Change(fromIndex, entries));
        }
        return changes;
    }

    private static DataInputStream openRecord(byte[] payload) throws IOException {
        DataInputStream in = new DataInputStream(new ByteArrayInputStream(payload));
        int version = in.readByte();
        if (version != FORMAT_VERSION) {
            throw new IOException("record version " + version + " is not supported");
        }
        return in;
    }
}
