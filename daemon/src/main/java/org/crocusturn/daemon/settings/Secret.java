package org.crocusturn.daemon.settings;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermission;
import java.security.MessageDigest;
import java.util.Set;

/** Secret shared by processes; {@link #toString} never returns its text. */
public final class Secret {
    private static final int MIN_BYTES = 16;
    private static final Set<PosixFilePermission> FORBIDDEN_PERMISSIONS =
            Set.of(
                    PosixFilePermission.GROUP_WRITE,
                    PosixFilePermission.OTHERS_READ,
                    PosixFilePermission.OTHERS_WRITE);

    /** Requires no secret; for deployments on loopback only, so it cannot be read from a file. */
    public static final Secret NONE = new Secret(new byte[0]);

    private final byte[] mBytes;

    private Secret(byte[] bytes) {
        mBytes = bytes;
    }

    /** Creates a secret from its text. */
    public static Secret of(String text) {
        return new Secret(text.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Reads a secret from a file and strips leading and trailing white space.
     *
     * @throws IllegalArgumentException if the file cannot be read, if other users can read or write
     *     it, or if the secret has fewer than 16 bytes
     */
    public static Secret ofFile(Path file) {
        try {
            if (Files.getPosixFilePermissions(file).stream()
                    .anyMatch(FORBIDDEN_PERMISSIONS::contains)) {
                throw new IllegalArgumentException(
                        "file " + file + " must not be readable by others (chmod 600)");
            }
            String text = Files.readString(file).strip();
            if (text.getBytes(StandardCharsets.UTF_8).length < MIN_BYTES) {
                throw new IllegalArgumentException(
                        "file " + file + " must hold at least " + MIN_BYTES + " bytes");
            }
            return of(text);
        } catch (IOException e) {
            throw new IllegalArgumentException("file " + file + " cannot be read", e);
        }
    }

    /** Returns whether no secret is required. */
    public boolean isNone() {
        return mBytes.length == 0;
    }

    /** Returns a copy of the bytes. */
    public byte[] bytes() {
        return mBytes.clone();
    }

    /** Returns the text of the secret, for protocols that transmit it. */
    public String text() {
        return new String(mBytes, StandardCharsets.UTF_8);
    }

    /** Compares a text with the secret in constant time for texts of equal length. */
    public boolean matches(String text) {
        return MessageDigest.isEqual(mBytes, text.getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public String toString() {
        return "Secret[hidden]";
    }
}
