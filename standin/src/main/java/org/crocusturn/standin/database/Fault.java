package org.crocusturn.standin.database;

import java.util.Objects;
import java.util.Optional;

/**
 * Is a fault that the next requests of a database meet.
 *
 * @param kind what happens
 * @param database database that it concerns; empty for all
 * @param route route that it concerns, such as {@code /v1/commit}; empty for all
 * @param millis delay of a late answer, in milliseconds
 * @param times number of requests that are left to meet it, at least 1
 */
public record Fault(
        Kind kind, Optional<String> database, Optional<String> route, long millis, int times) {
    /** What happens to a request that meets a fault. */
    public enum Kind {
        /** The answer comes late. */
        LATE,
        /** The answer arrives in many small TCP writes. */
        SPLIT,
        /** The answer is that of another request. */
        CROSSED,
        /** The statement runs and no answer is sent. */
        LOST,
        /** The connection is closed before the statement runs. */
        DROP_BEFORE,
        /** The connection is closed after the statement ran. */
        DROP_AFTER
    }

    /** Checks the parts. */
    public Fault {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(database, "database");
        Objects.requireNonNull(route, "route");
        if (times < 1 || millis < 0) {
            throw new IllegalArgumentException("times must be at least 1 and millis not negative");
        }
    }

    /** Creates a fault that the next request of any database meets. */
    public static Fault once(Kind kind) {
        return new Fault(kind, Optional.empty(), Optional.empty(), 0, 1);
    }

    /** Returns a copy with a delay. */
    public Fault withMillis(long delayMillis) {
        return new Fault(kind, database, route, delayMillis, times);
    }

    /** Returns a copy for some more or fewer requests. */
    public Fault withTimes(int newTimes) {
        return new Fault(kind, database, route, millis, newTimes);
    }

    boolean matches(String databaseName, String routePath) {
        return database.map(databaseName::equals).orElse(true)
                && route.map(routePath::equals).orElse(true);
    }
}
