package org.crocusturn.daemon.controlhosts;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.zip.CRC32C;
import java.util.zip.CheckedInputStream;
import org.crocusturn.core.CrocusturnException;
import org.crocusturn.core.ErrorCode;

/**
 * Reads and writes files of records. A record consists of a marker, the length, a CRC32C of length
 * and payload, and the payload.
 */
final class RecordFile {
    /** First bytes of each record, which make the search for records after a damaged one cheap. */
    private static final int MARKER = 0xC70C0501;

    private static final int HEADER_BYTES = 12;

    private RecordFile() {}

    /**
     * The content of a file.
     *
     * @param payloads payloads of the valid records
     * @param validBytes size of the valid records in bytes
     * @param totalBytes size of the file in bytes
     */
    record Content(List<FileRegion> payloads, long validBytes, long totalBytes) {
        boolean isTorn() {
            return validBytes < totalBytes;
        }
    }

    /** Returns the size of a record with the given payload in bytes. */
    static int size(byte[] payload) {
        return HEADER_BYTES + payload.length;
    }

    /**
     * Finds all records up to the first invalid one, without holding them in memory.
     *
     * @param file name of the file, for error messages
     * @param channel channel of the file
     * @throws CrocusturnException if a valid record follows an invalid one, which a torn write
     *     cannot cause
     */
    static Content scan(Path file, FileChannel channel) throws IOException {
        long size = channel.size();
        List<FileRegion> payloads = new ArrayList<>();
        long offset = 0;
        for (Optional<FileRegion> payload = payloadAt(channel, size, offset);
                payload.isPresent();
                payload = payloadAt(channel, size, offset)) {
            payloads.add(payload.get());
            offset += HEADER_BYTES + payload.get().length();
        }
        checkNoLaterRecord(file, channel, size, offset);
        return new Content(payloads, offset, size);
    }

    /**
     * Reads a file that consists of a single record.
     *
     * @throws IOException if the file has anything else
     */
    static byte[] readSingle(Path file) throws IOException {
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.READ)) {
            Content content = scan(file, channel);
            if (content.isTorn() || content.payloads().size() != 1) {
                throw new IOException("file " + file + " is damaged");
            }
            return content.payloads().get(0).read();
        }
    }

    /**
     * Atomically replaces a file with one that has a single record: a crash leaves the old or the
     * new file.
     */
    static void replace(Path file, byte[] payload) throws IOException {
        replace(file, List.of(payload).iterator());
    }

    /**
     * Atomically replaces a file with one that has the given records, of which only one is held in
     * memory at a time.
     *
     * @return the size of the file in bytes
     */
    static long replace(Path file, Iterator<byte[]> payloads) throws IOException {
        Path temporaryFile = temporaryFile(file);
        long size;
        try {
            size = writeFile(temporaryFile, payloads);
            Files.move(
                    temporaryFile,
                    file,
                    StandardCopyOption.ATOMIC_MOVE,
                    StandardCopyOption.REPLACE_EXISTING);
        } catch (IOException | RuntimeException e) {
            deleteAfterFailure(temporaryFile, e);
            throw e;
        }
        syncFolder(file.getParent());
        return size;
    }

    private static long writeFile(Path file, Iterator<byte[]> payloads) throws IOException {
        try (FileChannel channel =
                FileChannel.open(
                        file,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.TRUNCATE_EXISTING,
                        StandardOpenOption.WRITE)) {
            long size = 0;
            while (payloads.hasNext()) {
                byte[] payload = payloads.next();
                write(channel, payload);
                size += size(payload);
            }
            channel.force(true);
            return size;
        }
    }

    /** Deletes a file that was not completed, because it takes room on a full disk. */
    private static void deleteAfterFailure(Path file, Exception failure) {
        try {
            Files.deleteIfExists(file);
        } catch (IOException e) {
            failure.addSuppressed(e);
        }
    }

    static Path temporaryFile(Path file) {
        return file.resolveSibling(file.getFileName() + ".tmp");
    }

    /** Writes a record with the given payload at the position of a channel. */
    static void write(FileChannel channel, byte[] payload) throws IOException {
        ByteBuffer first = ByteBuffer.allocate(Math.min(size(payload), FileRegion.BUFFER_BYTES));
        first.putInt(MARKER).putInt(payload.length).putInt(checksum(payload));
        int start = first.remaining();
        writeAll(channel, first.put(payload, 0, start).flip());
        for (int offset = start; offset < payload.length; offset += FileRegion.BUFFER_BYTES) {
            int length = Math.min(FileRegion.BUFFER_BYTES, payload.length - offset);
            writeAll(channel, ByteBuffer.wrap(payload, offset, length));
        }
    }

    private static void writeAll(FileChannel channel, ByteBuffer bytes) throws IOException {
        while (bytes.hasRemaining()) {
            channel.write(bytes);
        }
    }

    /** Syncs a folder. Without it, a new or renamed file can be missing after a crash. */
    static void syncFolder(Path folder) throws IOException {
        try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }

    private static void checkNoLaterRecord(
            Path file, FileChannel channel, long size, long damagedOffset) throws IOException {
        ByteBuffer window = ByteBuffer.allocate(FileRegion.BUFFER_BYTES);
        long offset = damagedOffset + 1;
        while (offset + HEADER_BYTES <= size) {
            fill(channel, window.clear(), offset);
            int last = window.limit() - Integer.BYTES;
            for (int start = 0; start <= last; start++) {
                if (window.getInt(start) == MARKER
                        && payloadAt(channel, size, offset + start).isPresent()) {
                    throw CrocusturnException.notRun(
                            ErrorCode.INTERNAL,
                            "file "
                                    + file
                                    + " has a damaged record at byte "
                                    + damagedOffset
                                    + " before a valid one at byte "
                                    + (offset + start));
                }
            }
            offset += last + 1;
        }
    }

    /** Returns the payload of the record at an offset; empty if the record is not valid. */
    private static Optional<FileRegion> payloadAt(FileChannel channel, long size, long offset)
            throws IOException {
        if (offset + HEADER_BYTES > size) {
            return Optional.empty();
        }
        ByteBuffer header = ByteBuffer.allocate(HEADER_BYTES);
        fill(channel, header, offset);
        int marker = header.getInt();
        int length = header.getInt();
        int checksum = header.getInt();
        if (marker != MARKER || length < 0 || length > size - offset - HEADER_BYTES) {
            return Optional.empty();
        }
        FileRegion payload = new FileRegion(channel, offset + HEADER_BYTES, length);
        return checksum(payload) == checksum ? Optional.of(payload) : Optional.empty();
    }

    /** Fills a buffer from an offset on, up to the end of the file, and flips it. */
    private static void fill(FileChannel channel, ByteBuffer buffer, long offset)
            throws IOException {
        int count = 0;
        while (buffer.hasRemaining() && count >= 0) {
            count = channel.read(buffer, offset + buffer.position());
        }
        buffer.flip();
    }

    private static CRC32C checksumOfLength(int length) {
        CRC32C crc = new CRC32C();
        crc.update(ByteBuffer.allocate(Integer.BYTES).putInt(length).flip());
        return crc;
    }

    private static int checksum(byte[] payload) {
        CRC32C crc = checksumOfLength(payload.length);
        crc.update(payload);
        return (int) crc.getValue();
    }

    private static int checksum(FileRegion payload) throws IOException {
        CRC32C crc = checksumOfLength(payload.length());
        try (InputStream in = new CheckedInputStream(payload.stream(), crc)) {
            in.transferTo(OutputStream.nullOutputStream());
        }
        return (int) crc.getValue();
    }
}
