package org.crocusturn.daemon.controlhosts;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.crocusturn.core.CrocusturnException;
import org.crocusturn.core.ErrorCode;
import org.crocusturn.core.Failure;
import org.crocusturn.core.HostId;
import org.crocusturn.core.controlhosts.HardState;
import org.crocusturn.core.controlhosts.LogContent;
import org.crocusturn.core.controlhosts.LogEntry;

/** Encodes the payloads of the log file and the hard state file. */
final class LogRecords {
    private static final int FORMAT_VERSION = 1;

    /** Size of the version and the number of changes. */
    private static final int RECORD_HEADER_BYTES = Byte.BYTES + Integer.BYTES;

    /** Size of the first index and the number of entries of a change. */
    private static final int CHANGE_HEADER_BYTES = Long.BYTES + Integer.BYTES;

    /** Encoded size of a command above which a loaded log does not keep it in memory, in bytes. */
    private static final int MAX_RETAINED_ENTRY_BYTES = 1_024;

    private LogRecords() {}

    /**
     * A change of the log that one persist requests.
     *
     * @param fromIndex index of the first new entry; existing entries from there on are removed
     * @param entries new entries
     */
    record Change(long fromIndex, List<LogEntry> entries) {
        long approximateBytes() {
            return entries.stream().mapToLong(e -> e.content().approximateBytes()).sum();
        }

        /** Returns the change of a part of the entries, which follows the parts before it. */
        Change part(int start, int end) {
            return new Change(fromIndex + start, entries.subList(start, end));
        }
    }

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
        DataInputStream in = openRecord(new ByteArrayInputStream(payload));
        long term = in.readLong();
        boolean recovering = in.readBoolean();
        Optional<HostId> vote =
                Optional.of(in.readUTF()).filter(name -> !name.isEmpty()).map(HostId::of);
        return new HardState(term, vote, recovering);
    }

    static byte[] encodeChanges(List<Change> changes, LogCodec codec) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
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
        } catch (IOException e) {
            throw new UncheckedIOException("changes of the log cannot be encoded", e);
        }
        return bytes.toByteArray();
    }

    /**
     * Reads the changes of a record. Large commands are not kept in memory, so their entries refer
     * to the file, which must stay open.
     */
    static List<Change> readChanges(FileRegion payload, LogCodec codec) throws IOException {
        try (DataInputStream in = openRecord(payload.stream())) {
            List<Change> changes = new ArrayList<>();
            int offset = RECORD_HEADER_BYTES;
            for (int remaining = in.readInt(); remaining > 0; remaining--) {
                long fromIndex = in.readLong();
                List<LogEntry> entries = new ArrayList<>();
                offset += CHANGE_HEADER_BYTES;
                for (int n = in.readInt(); n > 0; n--) {
                    int length = in.readInt();
                    offset += Integer.BYTES;
                    entries.add(readEntry(payload.part(offset, length), in, codec));
                    offset += length;
                }
                changes.add(new Change(fromIndex, entries));
            }
            return changes;
        }
    }

    private static LogEntry readEntry(FileRegion region, DataInputStream in, LogCodec codec)
            throws IOException {
        LogEntry entry = codec.decodeEntry(in.readNBytes(region.length()));
        boolean large =
                region.length() > MAX_RETAINED_ENTRY_BYTES
                        && entry.content() instanceof LogContent.CommandContent;
        return large
                ? new LogEntry(
                        entry.position(),
                        new LogContent.StoredContent(
                                entry.content().approximateBytes(), () -> load(region, codec)))
                : entry;
    }

    private static LogContent load(FileRegion region, LogCodec codec) {
        try {
            return codec.decodeEntry(region.read()).content();
        } catch (IOException e) {
            throw CrocusturnException.causedBy(
                    Failure.notRun(
                            ErrorCode.INTERNAL,
                            "an entry of the log cannot be read: " + e.getMessage()),
                    e);
        }
    }

    /**
     * Splits changes into parts that are encoded one after the other. Each has at most the given
     * approximate size in memory, or one entry.
     */
    static List<List<Change>> split(List<Change> changes, long maxBytes) {
        List<List<Change>> parts = new ArrayList<>();
        long bytes = maxBytes;
        for (Change change : changes.stream().flatMap(c -> pieces(c, maxBytes)).toList()) {
            long size = change.approximateBytes();
            if (parts.isEmpty() || bytes + size > maxBytes) {
                parts.add(new ArrayList<>());
                bytes = 0;
            }
            parts.get(parts.size() - 1).add(change);
            bytes += size;
        }
        return parts;
    }

    private static Stream<Change> pieces(Change change, long maxBytes) {
        List<Change> pieces = new ArrayList<>();
        int start = 0;
        long bytes = 0;
        for (int n = 0; n < change.entries().size(); n++) {
            long size = change.entries().get(n).content().approximateBytes();
            if (n > start && bytes + size > maxBytes) {
                pieces.add(change.part(start, n));
                start = n;
                bytes = 0;
            }
            bytes += size;
        }
        pieces.add(change.part(start, change.entries().size()));
        return pieces.stream();
    }

    private static DataInputStream openRecord(InputStream payload) throws IOException {
        DataInputStream in = new DataInputStream(payload);
        int version = in.readByte();
        if (version != FORMAT_VERSION) {
            throw new IOException("record version " + version + " is not supported");
        }
        return in;
    }
}
