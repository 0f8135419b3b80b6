package org.crocusturn.standin.database;

import java.sql.Connection;
import java.sql.DriverManager;
import java.sql.PreparedStatement;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.List;
import java.util.UUID;
import java.util.regex.Pattern;
import org.h2.command.Prepared;
import org.h2.command.ddl.DefineCommand;
import org.h2.engine.SessionLocal;
import org.h2.jdbc.JdbcConnection;
import org.h2.jdbc.JdbcException;

/**
 * An in-memory H2 database that exists until all its connections are closed.
 *
 * <p>Reads run as a user without write privileges. Writes run as a user that cannot use the
 * functions and commands of administrators.
 */
final class SqlStore implements AutoCloseable {
    /** The effect of a statement according to the parser of H2. */
    enum Effect {
        READ,
        CHANGE,
        DEFINITION
    }

    private static final String READER = "reader";
    private static final String WRITER = "writer";
    private static final String PASSWORD = "standin";

    /** Detects queries on the result of a change, which H2 reports as read-only. */
    private static final Pattern CHANGE_IN_QUERY =
            Pattern.compile("\\b(FINAL|NEW|OLD)\\s+TABLE\\b", Pattern.CASE_INSENSITIVE);

    private static final Pattern CHANGE_COMMAND =
            Pattern.compile("(Insert|Update|Delete|Merge|MergeUsing)");

    private final String mUrl = "jdbc:h2:mem:" + UUID.randomUUID();
    private final Connection mAdmin;

    private SqlStore() throws SQLException {
        mAdmin = DriverManager.getConnection(mUrl + ";DATABASE_TO_LOWER=TRUE", "admin", PASSWORD);
    }

    /** Creates a database that contains only the empty table of request outcomes. */
    static SqlStore create() throws SQLException {
        SqlStore store = new SqlStore();
        try (Statement statement = store.mAdmin.createStatement()) {
            for (String sql :
                    List.of(
                            "SET DEFAULT_LOCK_TIMEOUT 1000",
                            "CREATE USER " + READER + " PASSWORD '" + PASSWORD + "'",
                            "CREATE USER " + WRITER + " PASSWORD '" + PASSWORD + "'",
                            "GRANT SELECT ON SCHEMA public TO " + READER,
                            "GRANT SELECT, INSERT, UPDATE, DELETE ON SCHEMA public TO " + WRITER,
                            "GRANT ALTER ANY SCHEMA TO " + WRITER,
                            "CREATE TABLE crocusturn_outcome (workspace VARCHAR(100),"
                                    + " request_id VARCHAR(1000), updated BIGINT NOT NULL,"
                                    + " PRIMARY KEY (workspace, request_id))")) {
                statement.execute(sql);
            }
        }
        return store;
    }

    Connection openReader() throws SQLException {
        return connect(READER);
    }

    Connection openWriter() throws SQLException {
        return connect(WRITER);
    }

    /**
     * Returns the effect of a statement.
     *
     * @throws RefusedException if it is neither a query, a change nor data definition
     */
    static Effect effectOf(Connection connection, String sql) throws SQLException {
        SessionLocal session = (SessionLocal) connection.unwrap(JdbcConnection.class).getSession();
        Prepared prepared;
        try {
            prepared = session.prepare(sql);
        } catch (org.h2.message.DbException e) {
            throw e.getSQLException();
        }
        if (prepared.isQuery()) {
            boolean changes =
                    !prepared.isReadOnly()
                            || CHANGE_IN_QUERY.matcher(prepared.getPlanSQL(0)).find();
            return changes ? Effect.CHANGE : Effect.READ;
        }
        if (prepared instanceof DefineCommand) {
            return Effect.DEFINITION;
        }
        if (CHANGE_COMMAND.matcher(prepared.getClass().getSimpleName()).matches()) {
            return Effect.CHANGE;
        }
        throw RefusedException.badRequest(
                "not_supported", "only queries, data changes and data definition are supported");
    }

    static StatementResult execute(Connection connection, LoggedStatement loggedStatement)
            throws SQLException {
        try (PreparedStatement statement = connection.prepareStatement(loggedStatement.sql())) {
            StatementResult.bind(statement, loggedStatement.parameters());
            if (!statement.execute()) {
                return StatementResult.updated(statement.getLargeUpdateCount());
            }
            try (ResultSet results = statement.getResultSet()) {
                return StatementResult.readAll(results);
            }
        }
    }

    /** Returns the message of an error without the statement, which may contain personal data. */
    static String messageWithoutStatement(SQLException error) {
        return error instanceof JdbcException h2Error
                ? h2Error.getOriginalMessage()
                : error.getMessage();
    }

    /** Closes the store; H2 drops the data once all other connections are also closed. */
    @Override
    public void close() {
        close(mAdmin);
    }

    /** Closes a connection unless it is null. */
    static void close(Connection connection) {
        try {
            if (connection != null) {
                connection.close();
            }
        } catch (SQLException e) {
            throw new IllegalStateException("cannot close the connection", e);
        }
    }

    private Connection connect(String user) throws SQLException {
        Connection connection = DriverManager.getConnection(mUrl, user, PASSWORD);
        connection.setAutoCommit(false);
        return connection;
    }
}
