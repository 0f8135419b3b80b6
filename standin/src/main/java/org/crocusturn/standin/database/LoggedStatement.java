package org.crocusturn.standin.database;

import java.util.List;
import java.util.Objects;
import org.crocusturn.core.callers.SqlValue;

/**
 * A statement with its parameters, as it runs on every copy.
 *
 * @param sql text of a single statement
 * @param parameters values of its placeholders
 */
record LoggedStatement(String sql, List<SqlValue> parameters) {
    LoggedStatement {
        Objects.requireNonNull(sql, "sql");
        parameters = List.copyOf(parameters);
    }

    static LoggedStatement of(String sql, SqlValue... parameters) {
        return new LoggedStatement(sql, List.of(parameters));
    }
}
