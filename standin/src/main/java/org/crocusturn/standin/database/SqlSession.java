package org.crocusturn.standin.database;

import java.sql.Connection;
import java.sql.SQLException;
import java.sql.Savepoint;
import java.util.ArrayList;
import java.util.List;
import org.crocusturn.core.LogPosition;
import org.crocusturn.core.callers.Access;
import org.crocusturn.core.callers.SqlValue;
import org.crocusturn.standin.database.SqlStore.Effect;

/** Runs the statements of one session. This class is not thread-safe. */
final class SqlSession {
    private static final String INSERT_OUTCOME =
            "INSERT INTO crocusturn_outcome (workspace, request_id, updated) VALUES (?, ?, ?)";
    private static final String UPDATE_OUTCOME =
            "UPDATE crocusturn_outcome SET updated = ? WHERE workspace = ? AND request_id = ?";
    private static final String SELECT_OUTCOME =
            "SELECT updated FROM crocusturn_outcome WHERE workspace = ? AND request_id = ?";

    private static final int DUPLICATE_KEY = 23505;

    /** H2 rolls back the whole transaction when it resolves a deadlock. */
    private static final int DEADLOCK = 40001;

    private final DatabaseCopy mCopy;
    private final DatabaseSession mSession;
    private final SqlStore mStore;
    private final Counters mCounters;
    private final List<LoggedStatement> mChanges = new ArrayList<>();
    private Connection mReadConnection;
    private Connection mWriteConnection;
    private boolean mInTransaction;
    private boolean mAborted;

    SqlSession(DatabaseCopy copy, DatabaseSession session, SqlStore store, Counters counters) {
        mCopy = copy;
        mSession = session;
        mStore = store;
        mCounters = counters;
    }

    CommandResult run(long term, LoggedStatement statement, Access access) {
        mCopy.checkAccess(mSession, term, mInTransaction || access == Access.WRITE);
        if (mInTransaction) {
            return runInTransaction(statement, access);
        }
        return access == Access.READ
                ? runAndRollBack(() -> read(statement))
                : runAndRollBack(() -> write(term, statement));
    }

    CommandResult runOnce(
            long term, String workspace, String requestId, LoggedStatement statement) {
        if (mInTransaction) {
            throw RefusedException.conflict(
                    "in_transaction", "a request id cannot be used within a transaction");
        }
        mCopy.checkAccess(mSession, term, true);
        return runAndRollBack(
                () -> {
                    SqlValue workspaceValue = new SqlValue.TextValue(workspace);
                    SqlValue requestIdValue = new SqlValue.TextValue(requestId);
                    return insertOutcome(workspaceValue, requestIdValue)
                            ? runAndStoreOutcome(term, workspaceValue, requestIdValue, statement)
                            : repeatedOutcome(term, workspaceValue, requestIdValue);
                });
    }

    CommandResult begin(long term) {
        if (mInTransaction) {
            throw RefusedException.conflict(
                    "in_transaction", "the session already has a transaction");
        }
        mCopy.checkAccess(mSession, term, true);
        mInTransaction = true;
        mAborted = false;
        return CommandResult.at(mCopy.position());
    }

    CommandResult commit(long term) {
        if (!mInTransaction) {
            throw RefusedException.conflict("no_transaction", "the session has no transaction");
        }
        List<LoggedStatement> changes = List.copyOf(mChanges);
        boolean aborted = mAborted;
        endTransaction();
        if (aborted) {
            rollBack(mWriteConnection);
            throw transactionLost();
        }
        if (changes.isEmpty()) {
            rollBack(mWriteConnection);
            mCopy.checkAccess(mSession, term, true);
            return CommandResult.at(mCopy.position());
        }
        return runAndRollBack(() -> CommandResult.at(commitChanges(term, changes)));
    }

    CommandResult rollback() {
        endTransaction();
        rollBack(mWriteConnection);
        return CommandResult.at(mCopy.position());
    }

    void close() {
        SqlStore.close(mReadConnection);
        SqlStore.close(mWriteConnection);
    }

    private CommandResult runInTransaction(LoggedStatement statement, Access access) {
        if (mAborted) {
            throw transactionLost();
        }
        try {
            Effect effect = SqlStore.effectOf(writeConnection(), statement.sql());
            if (effect == Effect.DEFINITION) {
                throw RefusedException.badRequest(
                        "not_supported", "data definition is not supported within a transaction");
            }
            if (access == Access.READ) {
                requireRead(effect);
                return CommandResult.of(readInTransaction(statement), mCopy.position());
            }
            StatementResult result = execute(writeConnection(), statement);
            if (effect != Effect.READ) {
                mChanges.add(statement);
            }
            return CommandResult.of(result, mCopy.position());
        } catch (SQLException e) {
            mAborted = e.getErrorCode() == DEADLOCK;
            throw sqlError(e);
        }
    }

    /**
     * Runs a read and rolls back to a savepoint, in case a change was not detected by {@link
     * SqlStore#effectOf}.
     */
    private StatementResult readInTransaction(LoggedStatement statement) throws SQLException {
        Savepoint savepoint = writeConnection().setSavepoint();
        try {
            return execute(writeConnection(), statement);
        } finally {
            writeConnection().rollback(savepoint);
        }
    }

    private CommandResult read(LoggedStatement statement) throws SQLException {
        requireRead(SqlStore.effectOf(readConnection(), statement.sql()));
        StatementResult result = execute(readConnection(), statement);
        return CommandResult.of(result, mCopy.position());
    }

    private CommandResult write(long term, LoggedStatement statement) throws SQLException {
        Effect effect = SqlStore.effectOf(writeConnection(), statement.sql());
        if (effect == Effect.DEFINITION) {
            // H2 commits data definition implicitly, so the statement runs while the lock is held.
            return mCopy.commit(
                    mSession, term, List.of(statement), () -> runDefinition(term, statement));
        }
        StatementResult result = execute(writeConnection(), statement);
        LogPosition position =
                effect == Effect.READ ? mCopy.position() : commitChanges(term, List.of(statement));
        return CommandResult.of(result, position);
    }

    /**
     * Runs a data definition and commits again, because a rollback directly after CREATE SEQUENCE
     * would skip the first value of the sequence.
     */
    private CommandResult runDefinition(long term, LoggedStatement statement) throws SQLException {
        StatementResult result = execute(writeConnection(), statement);
        writeConnection().commit();
        return CommandResult.of(result, nextPosition(term));
    }

    private boolean insertOutcome(SqlValue workspace, SqlValue requestId) throws SQLException {
        try {
            SqlStore.execute(
                    writeConnection(),
                    LoggedStatement.of(
                            INSERT_OUTCOME, workspace, requestId, new SqlValue.IntegerValue(0)));
            return true;
        } catch (SQLException e) {
            if (e.getErrorCode() == DUPLICATE_KEY) {
                return false;
            }
            throw e;
        }
    }

    private CommandResult runAndStoreOutcome(
            long term, SqlValue workspace, SqlValue requestId, LoggedStatement statement)
            throws SQLException {
        if (SqlStore.effectOf(writeConnection(), statement.sql()) == Effect.DEFINITION) {
            throw RefusedException.badRequest(
                    "not_supported", "data definition is not supported with a request id");
        }
        StatementResult result = execute(writeConnection(), statement);
        SqlValue updatedValue = new SqlValue.IntegerValue(result.updated());
        SqlStore.execute(
                writeConnection(),
                LoggedStatement.of(UPDATE_OUTCOME, updatedValue, workspace, requestId));
        return CommandResult.of(
                result,
                commitChanges(
                        term,
                        List.of(
                                LoggedStatement.of(
                                        INSERT_OUTCOME, workspace, requestId, updatedValue),
                                statement)));
    }

    private CommandResult repeatedOutcome(long term, SqlValue workspace, SqlValue requestId)
            throws SQLException {
        StatementResult outcome =
                SqlStore.execute(
                        writeConnection(),
                        LoggedStatement.of(SELECT_OUTCOME, workspace, requestId));
        if (outcome.rows().isEmpty()) {
            throw RefusedException.conflict(
                    "busy", "an earlier request with the same id is still in progress");
        }
        mCopy.checkAccess(mSession, term, true);
        long updated = ((SqlValue.IntegerValue) outcome.rows().get(0).get(0)).value();
        return new CommandResult(StatementResult.updated(updated), mCopy.position(), true);
    }

    private LogPosition commitChanges(long term, List<LoggedStatement> changes)
            throws SQLException {
        return mCopy.commit(
                mSession,
                term,
                changes,
                () -> {
                    writeConnection().commit();
                    return nextPosition(term);
                });
    }

    /**
     * Returns the position of the entry that is being committed; the lock of the copy must be held.
     */
    private LogPosition nextPosition(long term) {
        return LogPosition.of(term, mCopy.position().index() + 1);
    }

    private StatementResult execute(Connection connection, LoggedStatement statement)
            throws SQLException {
        StatementResult result = SqlStore.execute(connection, statement);
        mCounters.recordExecution(mCopy.name(), statement);
        return result;
    }

    /** Runs an action outside of a transaction and rolls back whatever it has not committed. */
    private CommandResult runAndRollBack(SqlCallable<CommandResult> action) {
        try {
            return action.call();
        } catch (SQLException e) {
            throw sqlError(e);
        } finally {
            rollBack(mReadConnection);
            rollBack(mWriteConnection);
        }
    }

    private void endTransaction() {
        mInTransaction = false;
        mAborted = false;
        mChanges.clear();
    }

    private Connection readConnection() throws SQLException {
        if (mReadConnection == null) {
            mReadConnection = mStore.openReader();
        }
        return mReadConnection;
    }

    private Connection writeConnection() throws SQLException {
        if (mWriteConnection == null) {
            mWriteConnection = mStore.openWriter();
        }
        return mWriteConnection;
    }

    private static void requireRead(Effect effect) {
        if (effect != Effect.READ) {
            throw RefusedException.badRequest(
                    "read_only", "a statement with access \"read\" would change data");
        }
    }

    private static RefusedException sqlError(SQLException error) {
        return RefusedException.badRequest("sql_error", SqlStore.messageWithoutStatement(error));
    }

    private static RefusedException transactionLost() {
        return RefusedException.conflict(
                "transaction_lost", "the database rolled back the transaction");
    }

    private static void rollBack(Connection connection) {
        try {
            if (connection != null) {
                connection.rollback();
            }
        } catch (SQLException e) {
            // A failed connection cannot be reused; closing it ends its transaction.
            SqlStore.close(connection);
        }
    }
}
