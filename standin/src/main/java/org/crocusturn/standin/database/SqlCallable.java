package org.crocusturn.standin.database;

import java.sql.SQLException;

/** A {@link java.util.concurrent.Callable} that throws only {@link SQLException}. */
@FunctionalInterface
interface SqlCallable<T> {
    /** Runs the operation and returns its result. */
    T call() throws SQLException;
}
