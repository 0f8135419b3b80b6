package org.crocusturn.standin.database;

import org.crocusturn.core.LogPosition;

/**
 * The outcome of one command of a session.
 *
 * @param statementResult columns, rows and update count
 * @param position position after the command; covers everything that a read saw
 * @param repeated whether the outcome is that of an earlier request with the same request id
 */
record CommandResult(StatementResult statementResult, LogPosition position, boolean repeated) {
    static CommandResult of(StatementResult statementResult, LogPosition position) {
        return new CommandResult(statementResult, position, false);
    }

    static CommandResult at(LogPosition position) {
        return new CommandResult(StatementResult.updated(0), position, false);
    }
}
