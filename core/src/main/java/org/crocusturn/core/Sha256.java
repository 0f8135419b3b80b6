package org.crocusturn.core;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Computes SHA-256 hashes, which identify keys and documents. */
public final class Sha256 {
    private Sha256() {}

    /** Returns the hash of a text in UTF-8, as 64 lower-case hexadecimal digits. */
    public static String hex(String text) {
        return hex(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns the hash of bytes, as 64 lower-case hexadecimal digits. */
    public static String hex(byte[] bytes) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("the Java platform does not support SHA-256", e);
        }
    }
}
