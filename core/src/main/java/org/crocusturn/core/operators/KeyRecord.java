package org.crocusturn.core.operators;

import java.util.Objects;
import org.crocusturn.core.WorkspaceId;

/**
 * The stored record of a caller's key. The key itself is never stored.
 *
 * @param id public id of the key, used to withdraw it
 * @param hash SHA-256 of the key, in lower-case hexadecimal, 64 characters
 * @param workspace workspace that the key belongs to
 */
public record KeyRecord(String id, String hash, WorkspaceId workspace) {
    /** Checks the length of the hash. */
    public KeyRecord {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(workspace, "workspace");
        if (hash.length() != 64) {
            throw new IllegalArgumentException("hash must have 64 characters");
        }
    }
}
