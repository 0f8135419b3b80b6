package org.crocusturn.core.operators;

import java.time.Duration;
import java.util.Objects;

/**
 * Maps a database name that sessions request to a service. Longer times than a year are shortened
 * to one, so that they never overflow as nanoseconds.
 *
 * @param name name of the route, for logs
 * @param database database name that sessions request; unique
 * @param service service that runs the statements
 * @param consistency consistency of reads
 * @param maxAge maximum age of the data that reads accept; ignored for {@link Consistency#PRIMARY}
 * @param timeout maximum time for one statement, more than 0
 * @param target target latency of an operation
 * @param priority priority, where 0 is the highest
 * @param open whether sessions need no key
 */
public record Route(
        String name,
        String database,
        String service,
        Consistency consistency,
        Duration maxAge,
        Duration timeout,
        Duration target,
        int priority,
        boolean open) {
    /** Checks that no component is null and that the timeout is more than 0; limits the times. */
    public Route {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(database, "database");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(consistency, "consistency");
        Objects.requireNonNull(maxAge, "maxAge");
        Objects.requireNonNull(target, "target");
        if (timeout.isZero() || timeout.isNegative()) {
            throw new IllegalArgumentException("timeout " + timeout + " must be more than 0");
        }
        maxAge = LongDurations.limit(maxAge);
        timeout = LongDurations.limit(timeout);
        target = LongDurations.limit(target);
    }
}
