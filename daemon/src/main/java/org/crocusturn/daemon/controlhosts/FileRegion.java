package org.crocusturn.daemon.controlhosts;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.util.Objects;

/**
 * A part of an open file. It stays readable after the file has been replaced, as long as the
 * channel is open.
 *
 * @param channel channel of the file
 * @param offset position of the first byte in the file
 * @param length number of bytes
 */
record FileRegion(FileChannel channel, long offset, int length) {
    /**
     * Bytes that are read or written at once. The JDK copies them to a buffer outside the heap that
     * each thread keeps.
     */
    static final int BUFFER_BYTES = 64 << 10;

    /** Checks that the channel is not null. */
    FileRegion {
        Objects.requireNonNull(channel, "channel");
    }

    /** Returns a part of this region. */
    FileRegion part(int start, int size) {
        return new FileRegion(
                channel, offset + Objects.checkFromIndexSize(start, size, length), size);
    }

    /** Reads the whole region. */
    byte[] read() throws IOException {
        byte[] bytes = new byte[length];
        for (int start = 0; start < length; ) {
            start += read(start, bytes, start, length - start);
        }
        return bytes;
    }

    /** Reads the region from its start without holding more than a buffer in memory. */
    InputStream stream() {
        return new BufferedInputStream(new RegionStream(), BUFFER_BYTES);
    }

    private int read(int start, byte[] target, int targetOffset, int size) throws IOException {
        ByteBuffer buffer = ByteBuffer.wrap(target, targetOffset, Math.min(size, BUFFER_BYTES));
        int count = channel.read(buffer, offset + start);
        if (count <= 0) {
            throw new EOFException("the file is shorter than " + (offset + length) + " bytes");
        }
        return count;
    }

    private final class RegionStream extends InputStream {
        private int mPosition;

        @Override
        public int read() throws IOException {
            byte[] single = new byte[1];
            return read(single, 0, 1) < 0 ? -1 : Byte.toUnsignedInt(single[0]);
        }

        @Override
        public int read(byte[] target, int targetOffset, int size) throws IOException {
            if (mPosition == length) {
                return -1;
            }
            int wanted = Math.min(size, length - mPosition);
            int count = FileRegion.this.read(mPosition, target, targetOffset, wanted);
            mPosition += count;
            return count;
        }
    }
}
