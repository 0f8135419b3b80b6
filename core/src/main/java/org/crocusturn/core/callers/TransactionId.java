package org.crocusturn.core.callers;

import java.util.Objects;
import org.crocusturn.core.GroupId;

/**
 * Identifies an open transaction.
 *
 * @param group group in which the transaction runs
 * @param epoch lease epoch in which the transaction began; a transaction does not outlive its epoch
 * @param secret unguessable value of 32 hexadecimal digits
 */
public record TransactionId(GroupId group, long epoch, String secret) {
    /** Checks that no component is null. */
    public TransactionId {
        Objects.requireNonNull(group, "group");
        Objects.requireNonNull(secret, "secret");
    }
}
