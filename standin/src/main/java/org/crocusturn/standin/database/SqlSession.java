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

/** Runs the statements of one session; not safe for more than one thread at a time. */
final class SqlSession {
    private static final String INSERT_OUTCOME =
            "INSERT INTO crocusturn_outcome (workspace, request_id, updated) VALUES (?, ?, ?)";
    private static final String UPDATE_OUTCOME =
            "UPDATE crocusturn_outcome SET updated = ? WHERE workspace = ? AND request_id = ?";
    private static final String SELECT_OUTCOME =
            "SELECT updated FROM crocusturn_outcome WHERE workspace = ? AND request_id = ?";

    private static final int DUPLICATE_KEY = 23505;

    /** H2 rolls the whole transaction back when it resolves a deadlock. */
    private static final int DEADLOCK = 40001;

    private final DatabaseCopy mCopy;
    private final DatabaseSession mSession;
    private final SqlStore mStore;
    private final Counters mCounters;
    private final List<LoggedStatement> mChanges = new ArrayList<>();
    private Connection mReader;
    private Connection mWriter;
    private boolean mInTransaction;
    private boolean mAborted;

    SqlSession(DatabaseCopy copy, DatabaseSession session, SqlStore store, Counters counters) {
        mCopy = copy;
        mSession = session;
        mStore = store;
        mCounters = counters;
    }

    RunResult run(long term, LoggedStatement statement, Access access) {
        mCopy.check(mSession, term, mInTransaction || access == Access.WRITE);
        if (mInTransaction) {
            return runInTransaction(statement, access);
        }
        return access == Access.READ
                ? undoing(() -> read(statement))
                : undoing(() -> write(term, statement));
    }

    RunResult runOnce(long term, String workspace, String requestId, LoggedStatement statement) {
        if (mInTransaction) {
            throw RefusedException.conflict(
                    "in_transaction", "a request id cannot be used within a transaction");
        }
        mCopy.check(mSession, term, true);
        return undoing(
                () -> {
                    SqlValue space = new SqlValue.TextValue(workspace);
                    SqlValue id = new SqlValue.TextValue(requestId);
                    return insertOutcome(space, id)
                            ? runFirst(term, space, id, statement)
                            : repeat(term, space, id);
                });
    }

    RunResult begin(long term) {
        if (mInTransaction) {
            throw RefusedException.conflict(
                    "in_transaction", "the session has a transaction already");
        }
        mCopy.check(mSession, term, true);
        mInTransaction = true;
        mAborted = false;
        return RunResult.at(mCopy.position());
    }

    RunResult commit(long term) {
        if (!mInTransaction) {
            throw RefusedException.conflict("no_transaction", "the session has no transaction");
        }
        List<LoggedStatement> changes = List.copyOf(mChanges);
        boolean aborted = mAborted;
        endTransaction();
        if (aborted) {
            undo(mWriter);
            throw lostTransaction();
        }
        if (changes.isEmpty()) {
            undo(mWriter);
            mCopy.check(mSession, term, true);
            return RunResult.at(mCopy.position());
        }
        return undoing(() -> RunResult.at(commitChanges(term, changes)));
    }

    RunResult rollback() {
        endTransaction();
        undo(mWriter);
        return RunResult.at(mCopy.position());
    }

    void close() {
        SqlStore.close(mReader);
        SqlStore.close(mWriter);
    }

    private RunResult runInTransaction(LoggedStatement statement, Access access) {
        if (mAborted) {
            throw lostTransaction();
        }
        try {
            Effect effect = SqlStore.effect(writer(), statement.sql());
            if (effect == Effect.DEFINITION) {
                throw RefusedException.malformed(
                        "not_supported", "data definition is not supported within a transaction");
            }
            if (access == Access.READ) {
                requireRead(effect);
                return RunResult.of(readInTransaction(statement), mCopy.position());
            }
            SqlRows rows = execute(writer(), statement);
            if (effect != Effect.READ) {
                mChanges.add(statement);
            }
            return RunResult.of(rows, mCopy.position());
        } catch (SQLException e) {
            mAborted = e.getErrorCode() == DEADLOCK;
            throw refusal(e);
        }
    }

    /** Undoes whatever a read changed, although {@link SqlStore#effect} lets no change pass. */
    private SqlRows readInTransaction(LoggedStatement statement) throws SQLException {
        Savepoint before = writer().setSavepoint();
        try {
            return execute(writer(), statement);
        } finally {
            writer().rollback(before);
        }
    }

    private RunResult read(LoggedStatement statement) throws SQLException {
        requireRead(SqlStore.effect(reader(), statement.sql()));
        SqlRows rows = execute(reader(), statement);
        return RunResult.of(rows, mCopy.position());
    }

    private RunResult write(long term, LoggedStatement statement) throws SQLException {
        Effect effect = SqlStore.effect(writer(), statement.sql());
        if (effect == Effect.DEFINITION) {
            // H2 commits data definition by itself, so it runs while commits are held back.
            return mCopy.commit(mSession, term, List.of(statement), () -> define(term, statement));
        }
        SqlRows rows = execute(writer(), statement);
        LogPosition position =
                effect == Effect.READ ? mCopy.position() : commitChanges(term, List.of(statement));
        return RunResult.of(rows, position);
    }

    /** Commits once more: a rollback right after CREATE SEQUENCE would skip its first value. */
    private RunResult define(long term, LoggedStatement statement) throws SQLException {
        SqlRows rows = execute(writer(), statement);
        writer().commit();
        return RunResult.of(rows, nextPosition(term));
    }

    private boolean insertOutcome(SqlValue workspace, SqlValue requestId) throws SQLException {
        try {
            SqlStore.execute(
                    writer(),
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

    private RunResult runFirst(
            long term, SqlValue workspace, SqlValue requestId, LoggedStatement statement)
            throws SQLException {
        if (SqlStore.effect(writer(), statement.sql()) == Effect.DEFINITION) {
            throw RefusedException.malformed(
                    "not_supported", "data definition cannot have a request id");
        }
        SqlRows rows = execute(writer(), statement);
        SqlValue updated = new SqlValue.IntegerValue(rows.updated());
        SqlStore.execute(
                writer(), LoggedStatement.of(UPDATE_OUTCOME, updated, workspace, requestId));
        return RunResult.of(
                rows,
                commitChanges(
                        term,
                        List.of(
                                LoggedStatement.of(INSERT_OUTCOME, workspace, requestId, updated),
                                statement)));
    }

    private RunResult repeat(long term, SqlValue workspace, SqlValue requestId)
            throws SQLException {
        SqlRows stored =
                SqlStore.execute(
                        writer(), LoggedStatement.of(SELECT_OUTCOME, workspace, requestId));
        if (stored.rows().isEmpty()) {
            throw RefusedException.conflict(
                    "busy", "an earlier request with the same id is not finished");
        }
        mCopy.check(mSession, term, true);
        long updated = ((SqlValue.IntegerValue) stored.rows().get(0).get(0)).value();
        return new RunResult(SqlRows.updated(updated), mCopy.position(), true);
    }

    private LogPosition commitChanges(long term, List<LoggedStatement> changes)
            throws SQLException {
        return mCopy.commit(
                mSession,
                term,
                changes,
                () -> {
                    writer().commit();
                    return nextPosition(term);
                });
    }

    /** Returns the position of the entry that is being committed. */
    private LogPosition nextPosition(long term) {
        return LogPosition.of(term, mCopy.position().index() + 1);
    }

    private SqlRows execute(Connection connection, LoggedStatement statement) throws SQLException {
        SqlRows rows = SqlStore.execute(connection, statement);
        mCounters.ran(mCopy.name(), statement);
        return rows;
    }

    /** Runs an action outside of a transaction and leaves nothing open behind it. */
    private RunResult undoing(SqlAction<RunResult> action) {
        try {
            return action.run();
        } catch (SQLException e) {
            throw refusal(e);
        } finally {
            undo(mReader);
            undo(mWriter);
        }
    }

    private void endTransaction() {
        mInTransaction = false;
        mAborted = false;
        mChanges.clear();
    }

    private Connection reader() throws SQLException {
        if (mReader == null) {
            mReader = mStore.reader();
        }
        return mReader;
    }

    private Connection writer() throws SQLException {
        if (mWriter == null) {
            mWriter = mStore.writer();
        }
        return mWriter;
    }

    private static void requireRead(Effect effect) {
        if (effect != Effect.READ) {
            throw RefusedException.malformed(
                    "read_only", "a statement with access \"read\" would change data");
        }
    }

    private static RefusedException refusal(SQLException error) {
        return RefusedException.malformed("sql_error", SqlStore.message(error));
    }

    private static RefusedException lostTransaction() {
        return RefusedException.conflict(
                "transaction_lost", "the database rolled the transaction back");
    }

    private static void undo(Connection connection) {
        try {
            if (connection != null) {
                connection.rollback();
            }
        } catch (SQLException e) {
            // The connection is gone, and its transaction with it.
            SqlStore.close(connection);
        }
    }
}
