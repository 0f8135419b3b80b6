package org.crocusturn.daemon.net;

import io.netty.buffer.ByteBuf;
import java.security.MessageDigest;
import java.util.Arrays;
import javax.crypto.Mac;

/**
 * Numbers and authenticates the frames of one direction of a link.
 *
 * <p>A sealed frame is a sequence number of 8 bytes, the payload and a truncated code of 16 bytes.
 * Belongs to the event loop of the link.
 */
final class FrameSeal {
    /** Bytes that a sealed frame is longer than its payload. */
    static final int OVERHEAD_BYTES = Long.BYTES + 16;

    private static final int CODE_BYTES = 16;

    private final Mac mMac;
    private long mNext;

    private FrameSeal(Mac mac) {
        mMac = mac;
    }

    static FrameSeal of(SharedSecret key) {
        return new FrameSeal(key.newMac());
    }

    /** Writes the sealed form of a payload. */
    void seal(ByteBuf payload, ByteBuf out) {
        int start = out.writerIndex();
        out.writeLong(mNext++);
        out.writeBytes(payload, payload.readerIndex(), payload.readableBytes());
        out.writeBytes(code(out, start, out.writerIndex() - start), 0, CODE_BYTES);
    }

    /**
     * Returns the payload of a frame, or null if the frame is not the next one of the other end.
     */
    byte[] open(ByteBuf frame) {
        int length = frame.readableBytes() - OVERHEAD_BYTES;
        if (length < 0) {
            return null;
        }
        int start = frame.readerIndex();
        byte[] code = code(frame, start, Long.BYTES + length);
        byte[] received = new byte[CODE_BYTES];
        frame.getBytes(start + Long.BYTES + length, received);
        if (!MessageDigest.isEqual(Arrays.copyOf(code, CODE_BYTES), received)
                || frame.getLong(start) != mNext) {
            return null;
        }
        mNext++;
        byte[] payload = new byte[length];
        frame.getBytes(start + Long.BYTES, payload);
        return payload;
    }

    private byte[] code(ByteBuf buffer, int start, int length) {
        mMac.update(buffer.nioBuffer(start, length));
        return mMac.doFinal();
    }
}
