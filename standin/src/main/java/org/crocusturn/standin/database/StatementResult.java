package org.crocusturn.standin.database;

import java.math.BigDecimal;
import java.sql.PreparedStatement;
import java.sql.ResultSet;
import java.sql.ResultSetMetaData;
import java.sql.SQLException;
import java.sql.Types;
import java.time.LocalDate;
import java.time.LocalDateTime;
import java.time.LocalTime;
import java.time.OffsetDateTime;
import java.time.OffsetTime;
import java.util.ArrayList;
import java.util.List;
import org.crocusturn.core.callers.SqlValue;

/**
 * The result of one statement.
 *
 * @param columns column labels
 * @param rows rows in the order of the result set
 * @param updated number of rows that the statement changed
 */
record StatementResult(List<String> columns, List<List<SqlValue>> rows, long updated) {
    static StatementResult updated(long count) {
        return new StatementResult(List.of(), List.of(), count);
    }

    /** Reads all rows of a result set. */
    static StatementResult readAll(ResultSet results) throws SQLException {
        ResultSetMetaData meta = results.getMetaData();
        List<String> columns = new ArrayList<>();
        for (int i = 1; i <= meta.getColumnCount(); i++) {
            columns.add(meta.getColumnLabel(i));
        }
        List<List<SqlValue>> rows = new ArrayList<>();
        while (results.next()) {
            List<SqlValue> row = new ArrayList<>(columns.size());
            for (int i = 1; i <= columns.size(); i++) {
                row.add(toSqlValue(results, i, meta.getColumnType(i)));
            }
            rows.add(row);
        }
        return new StatementResult(columns, rows, 0);
    }

    /** Binds the parameters of a prepared statement. */
    static void bind(PreparedStatement statement, List<SqlValue> parameters) throws SQLException {
        for (int i = 0; i < parameters.size(); i++) {
            SqlValue value = parameters.get(i);
            if (value instanceof SqlValue.BooleanValue bool) {
                statement.setBoolean(i + 1, bool.value());
            } else if (value instanceof SqlValue.IntegerValue number) {
                statement.setLong(i + 1, number.value());
            } else if (value instanceof SqlValue.DecimalValue decimal) {
                statement.setBigDecimal(i + 1, decimal.value());
            } else if (value instanceof SqlValue.TextValue text) {
                statement.setString(i + 1, text.value());
            } else {
                statement.setNull(i + 1, Types.NULL);
            }
        }
    }

    private static SqlValue toSqlValue(ResultSet results, int column, int type)
            throws SQLException {
        Object value =
                switch (type) {
                    case Types.DATE -> results.getObject(column, LocalDate.class);
                    case Types.TIME -> results.getObject(column, LocalTime.class);
                    case Types.TIME_WITH_TIMEZONE -> results.getObject(column, OffsetTime.class);
                    case Types.TIMESTAMP -> results.getObject(column, LocalDateTime.class);
                    case Types.TIMESTAMP_WITH_TIMEZONE ->
                            results.getObject(column, OffsetDateTime.class);
                    case Types.CLOB -> results.getString(column);
                    default -> results.getObject(column);
                };
        if (value == null) {
            return SqlValue.NullValue.INSTANCE;
        }
        if (value instanceof Boolean bool) {
            return new SqlValue.BooleanValue(bool);
        }
        if (value instanceof BigDecimal decimal) {
            return new SqlValue.DecimalValue(decimal);
        }
        if (value instanceof Double || value instanceof Float) {
            return fromFloatingPoint((Number) value);
        }
        if (value instanceof Number number) {
            return new SqlValue.IntegerValue(number.longValue());
        }
        return new SqlValue.TextValue(
                value instanceof byte[] ? results.getString(column) : value.toString());
    }

    /**
     * Converts a floating-point number; infinities and NaN have no decimal form and become text.
     */
    private static SqlValue fromFloatingPoint(Number number) {
        return Double.isFinite(number.doubleValue())
                ? new SqlValue.DecimalValue(new BigDecimal(number.toString()))
                : new SqlValue.TextValue(number.toString());
    }
}
