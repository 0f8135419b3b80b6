package org.crocusturn.standin.database;

import java.sql.SQLException;

/** Does something with a database and returns a value. */
@FunctionalInterface
interface SqlCallable<T> {
    /** Does the action. */
    T call() throws SQLException;
}
