package org.crocusturn.core.operators;

import java.time.Duration;
import java.util.Objects;

/**
 * Maps a database name that sessions ask for to a service.
 *
 * @param name name of the route, for logs
 * @param database name that sessions ask for; unique
 * @param service service that runs the statements
 * @param consistency what reads must see
 * @param maxAge age of the data that reads accept; ignored for {@link Consistency#PRIMARY}
 * @param timeout longest time for one statement, more than 0
 * @param target time in which an operation should end
 * @param priority 0 is served first
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
    /** Checks that no part is null and that the timeout is more than 0. */
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
    }
}
