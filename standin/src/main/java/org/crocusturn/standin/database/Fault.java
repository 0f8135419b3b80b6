package org.crocusturn.standin.database;

import java.util.Objects;
import java.util.Optional;

/**
 * A fault that is injected into the next requests of a database.
 *
 * @param kind kind of the fault
 * @param database database that the fault applies to; empty for all
 * @param route route that the fault applies to, such as {@code /v1/commit}; empty for all that run
 *     in a session
 * @param millis delay of a late answer or of a repetition, in milliseconds
 * @param times remaining number of requests that the fault applies to, at least 1
 */
public record Fault(
        Kind kind, Optional<String> database, Optional<String> route, long millis, int times) {
    /** The effect of a fault on a request. */
    public enum Kind {
        /** The answer is delayed. */
        LATE,
        /** The answer is sent in many small TCP writes. */
        SPLIT,
        /** The answer has the id of another request. */
        CROSSED,
        /** The answer is sent, and sent again after the delay. */
        REPEATED,
        /** Only the first half of the answer is sent, and the connection is closed. */
        CUT,
        /** The statement runs, but no answer is sent. */
        LOST,
        /** The connection is closed before the statement runs. */
        DROP_BEFORE,
        /** The connection is closed after the statement has run. */
        DROP_AFTER
    }

    /** Rejects null components, negative delays and non-positive counts. */
    public Fault {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(database, "database");
        Objects.requireNonNull(route, "route");
        if (times < 1 || millis < 0) {
            throw new IllegalArgumentException(
                    "times must be at least 1 and millis must not be negative");
        }
    }

    /** Creates a fault for the next request of any database. */
    public static Fault once(Kind kind) {
        return new Fault(kind, Optional.empty(), Optional.empty(), 0, 1);
    }

    /** Returns a copy with the given delay. */
    public Fault withMillis(long delayMillis) {
        return new Fault(kind, database, route, delayMillis, times);
    }

    /** Returns a copy that applies to the given number of requests. */
    public Fault withTimes(int newTimes) {
        return new Fault(kind, database, route, millis, newTimes);
    }

    /** Returns a copy that applies to a route only. */
    public Fault withRoute(String path) {
        return new Fault(kind, database, Optional.of(path), millis, times);
    }

    boolean matches(String databaseName, String routePath) {
        return database.map(databaseName::equals).orElse(true)
                && route.map(routePath::equals).orElse(true);
    }
}
