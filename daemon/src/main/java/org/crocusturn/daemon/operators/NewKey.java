package org.crocusturn.daemon.operators;

import java.security.SecureRandom;
import java.util.Base64;
import java.util.HexFormat;
import org.crocusturn.core.Sha256;

/**
 * Newly generated key of a caller; only its hash leaves the operator's machine.
 *
 * @param id public name of the key
 * @param key the secret key, printed once
 */
public record NewKey(String id, String key) {
    /** 256 random bits cannot be guessed, so an unsalted hash is sufficient for storage. */
    private static final int KEY_BYTES = 32;

    private static final int ID_BYTES = 6;

    /** Generates a key and its id. */
    public static NewKey generate(SecureRandom random) {
        byte[] key = new byte[KEY_BYTES];
        byte[] id = new byte[ID_BYTES];
        random.nextBytes(key);
        random.nextBytes(id);
        return new NewKey(
                "key-" + HexFormat.of().formatHex(id),
                Base64.getUrlEncoder().withoutPadding().encodeToString(key));
    }

    /** Returns the SHA-256 hash of the key in lower-case hexadecimal digits. */
    public String hash() {
        return hash(key);
    }

    /** Returns the SHA-256 hash of a key in lower-case hexadecimal digits. */
    public static String hash(String key) {
        return Sha256.hex(key);
    }

    @Override
    public String toString() {
        return "NewKey[" + id + "]";
    }
}
