package org.crocusturn.core.callers;

import java.util.Objects;
import org.crocusturn.core.GroupId;

/**
 * Identifies an open transaction.
 *
 * @param group group that it runs in
 * @param epoch lease epoch in which it began; it ends with the epoch
 * @param secret unguessable text of 32 hexadecimal characters
 */
public record TransactionId(GroupId group, long epoch, String secret) {
    /** Checks that no part is null. */
    public TransactionId {
        Objects.requireNonNull(group, "group");
        Objects.requireNonNull(secret, "secret");
    }
}
