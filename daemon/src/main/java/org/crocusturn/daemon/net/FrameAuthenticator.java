package org.crocusturn.daemon.net;

import io.netty.buffer.ByteBuf;
import java.security.MessageDigest;
import java.util.Arrays;
import javax.crypto.Mac;

/**
 * Signs or verifies the frames of one direction of a link.
 *
 * <p>A signed frame consists of a sequence number of 8 bytes, the payload and a MAC truncated to 16
 * bytes. Confined to the event loop of the link.
 */
final class FrameAuthenticator {
    /** Bytes that signing adds to a payload. */
    static final int OVERHEAD_BYTES = Long.BYTES + 16;

    private static final int MAC_BYTES = 16;

    private final Mac mMac;
    private long mNextSequence;

    private FrameAuthenticator(Mac mac) {
        mMac = mac;
    }

    static FrameAuthenticator of(SharedSecret key) {
        return new FrameAuthenticator(key.newMac());
    }

    /** Writes the signed frame of a payload. */
    void sign(ByteBuf payload, ByteBuf out) {
        int start = out.writerIndex();
        out.writeLong(mNextSequence++);
        out.writeBytes(payload, payload.readerIndex(), payload.readableBytes());
        out.writeBytes(computeMac(out, start, out.writerIndex() - start), 0, MAC_BYTES);
    }

    /**
     * Returns the payload of a frame, or null if its MAC is wrong or its sequence number is not the
     * next one.
     */
    byte[] verify(ByteBuf frame) {
        int length = frame.readableBytes() - OVERHEAD_BYTES;
        if (length < 0) {
            return null;
        }
        int start = frame.readerIndex();
        byte[] expected = computeMac(frame, start, Long.BYTES + length);
        byte[] received = new byte[MAC_BYTES];
        frame.getBytes(start + Long.BYTES + length, received);
        if (!MessageDigest.isEqual(Arrays.copyOf(expected, MAC_BYTES), received)
                || frame.getLong(start) != mNextSequence) {
            return null;
        }
        mNextSequence++;
        byte[] payload = new byte[length];
        frame.getBytes(start + Long.BYTES, payload);
        return payload;
    }

    private byte[] computeMac(ByteBuf buffer, int start, int length) {
        mMac.update(buffer.nioBuffer(start, length));
        return mMac.doFinal();
    }
}
