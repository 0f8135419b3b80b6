package org.crocusturn.daemon.net;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Secret shared by the processes of a deployment; {@link #toString} does not reveal it.
 *
 * <p>Immutable and thread-safe.
 */
public final class SharedSecret {
    /** Length of a message authentication code, in bytes. */
    public static final int MAC_BYTES = 32;

    /** A shorter secret could be guessed by brute force from a recorded proof. */
    private static final int MIN_BYTES = 16;

    private static final String ALGORITHM = "HmacSHA256";

    private final SecretKeySpec mKey;

    private SharedSecret(byte[] bytes) {
        mKey = new SecretKeySpec(bytes, ALGORITHM);
    }

    /**
     * Creates a secret from its bytes, which are copied.
     *
     * @throws IllegalArgumentException if there are fewer than 16 bytes
     */
    public static SharedSecret of(byte[] bytes) {
        if (bytes.length < MIN_BYTES) {
            throw new IllegalArgumentException(
                    "the shared secret must have at least " + MIN_BYTES + " bytes");
        }
        return new SharedSecret(bytes);
    }

    /** Creates a secret from the UTF-8 bytes of a string. */
    public static SharedSecret of(String text) {
        return of(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns the HMAC-SHA-256 of the parts, each prefixed with its length. */
    public byte[] mac(byte[]... parts) {
        Mac mac = newMac();
        for (byte[] part : parts) {
            mac.update(ByteBuffer.allocate(Integer.BYTES).putInt(part.length).flip());
            mac.update(part);
        }
        return mac.doFinal();
    }

    /** Returns whether a MAC is that of the parts; compares in constant time. */
    public boolean verify(byte[] mac, byte[]... parts) {
        return MessageDigest.isEqual(mac(parts), mac);
    }

    /** Returns a new {@link Mac} that is keyed with this secret; not thread-safe. */
    Mac newMac() {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(mKey);
            return mac;
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("the Java platform does not support " + ALGORITHM, e);
        }
    }

    /** Derives a secret for one purpose, from which this secret cannot be computed. */
    public SharedSecret derive(byte[]... purpose) {
        return new SharedSecret(mac(purpose));
    }

    @Override
    public String toString() {
        return "SharedSecret[hidden]";
    }
}
