package org.crocusturn.standin.database;

import java.sql.SQLException;

/** Does something with a database and returns a value. */
@FunctionalInterface
interface SqlAction<T> {
    /** Does the action. */
    T run() throws SQLException;
}
