package org.crocusturn.standin.database;

import org.crocusturn.core.LogPosition;

/**
 * Is the outcome of one command of a session.
 *
 * @param rows columns, rows and count
 * @param position position after the command; covers everything that a read saw
 * @param repeated whether the outcome is that of an earlier request with the same request id
 */
record RunResult(SqlRows rows, LogPosition position, boolean repeated) {
    static RunResult of(SqlRows rows, LogPosition position) {
        return new RunResult(rows, position, false);
    }

    static RunResult at(LogPosition position) {
        return new RunResult(SqlRows.updated(0), position, false);
    }
}
