package org.crocusturn.core.operators;

import java.time.Duration;
import java.util.Objects;

/**
 * Limits the sessions of callers.
 *
 * @param idleTransaction time without a statement after which an open transaction may be ended
 */
public record SessionLimits(Duration idleTransaction) {
    /** Limits of a configuration that states none. */
    public static final SessionLimits DEFAULT = new SessionLimits(Duration.ofSeconds(10));

    /** Checks that the time is not null. */
    public SessionLimits {
        Objects.requireNonNull(idleTransaction, "idleTransaction");
    }
}
