package org.crocusturn.core.operators;

import java.time.Duration;
import java.util.Objects;

/**
 * Limits of callers' sessions.
 *
 * @param idleTransaction time without a statement after which an open transaction may be ended; at
 *     most a year, so that it never overflows as nanoseconds
 */
public record SessionLimits(Duration idleTransaction) {
    /** Limits of a configuration that does not set any. */
    public static final SessionLimits DEFAULT = new SessionLimits(Duration.ofSeconds(10));

    /** Checks that the time is not null and limits it. */
    public SessionLimits {
        Objects.requireNonNull(idleTransaction, "idleTransaction");
        idleTransaction = LongDurations.limit(idleTransaction);
    }
}
