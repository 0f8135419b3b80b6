package org.crocusturn.core.callers;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * An SQL statement of a caller.
 *
 * @param sql text of the statement
 * @param parameters values of its placeholders, in order
 * @param access whether the statement may modify data; a read that would modify data is rejected
 * @param maxAge maximum age of the data that a read accepts; empty if it must see the session's own
 *     writes
 * @param requestId id that makes a write idempotent, if any
 */
public record Statement(
        String sql,
        List<SqlValue> parameters,
        Access access,
        Optional<Duration> maxAge,
        Optional<String> requestId) {
    /** Checks the components and copies the parameters. */
    public Statement {
        Objects.requireNonNull(sql, "sql");
        Objects.requireNonNull(access, "access");
        Objects.requireNonNull(maxAge, "maxAge");
        Objects.requireNonNull(requestId, "requestId");
        parameters = List.copyOf(parameters);
        if (access == Access.WRITE && maxAge.isPresent()) {
            throw new IllegalArgumentException("maxAge is only allowed for reads");
        }
    }

    /** Creates a read that sees the session's own writes. */
    public static Statement read(String sql, SqlValue... parameters) {
        return new Statement(
                sql, List.of(parameters), Access.READ, Optional.empty(), Optional.empty());
    }

    /** Creates a write without a request id. */
    public static Statement write(String sql, SqlValue... parameters) {
        return new Statement(
                sql, List.of(parameters), Access.WRITE, Optional.empty(), Optional.empty());
    }

    /** Returns whether repeating the statement has no further effect, so that it can be retried. */
    public boolean idempotent() {
        return access == Access.READ || requestId.isPresent();
    }

    /** Returns a copy that accepts data up to an age. */
    public Statement withMaxAge(Duration age) {
        return new Statement(sql, parameters, access, Optional.of(age), requestId);
    }

    /** Returns a copy with a request id. */
    public Statement withRequestId(String id) {
        return new Statement(sql, parameters, access, maxAge, Optional.of(id));
    }
}
