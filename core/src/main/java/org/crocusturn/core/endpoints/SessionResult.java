package org.crocusturn.core.endpoints;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.crocusturn.core.LogPosition;

/**
 * Complete response of an endpoint to a {@link SessionCommand}.
 *
 * @param rows rows in order
 * @param signature signature of the response by the endpoint; empty on an error
 * @param error the error, if the command failed
 * @param text error message
 * @param state transaction state of the connection after the command
 * @param position log position of the endpoint; empty if not reported
 * @param status replication status, if it was requested
 * @param certain whether the response is known to be that of the command; otherwise it may repeat
 *     the response to an earlier one
 */
public record SessionResult(
        List<String> rows,
        String signature,
        Optional<EndpointError> error,
        String text,
        State state,
        Optional<LogPosition> position,
        Optional<ReplicationStatus> status,
        boolean certain) {
    /** Bytes that a row takes beside its text. */
    public static final int ROW_OVERHEAD_BYTES = 64;

    /** Rows of this size are not counted, so that ordinary answers never lack memory. */
    public static final int SMALL_ROWS_BYTES = 64 << 10;

    /** Takes defensive copies of the rows. */
    public SessionResult {
        rows = List.copyOf(rows);
        Objects.requireNonNull(signature, "signature");
        Objects.requireNonNull(error, "error");
        Objects.requireNonNull(text, "text");
        Objects.requireNonNull(state, "state");
        Objects.requireNonNull(position, "position");
        Objects.requireNonNull(status, "status");
    }

    /** Creates a response that is known to be that of the command. */
    public SessionResult(
            List<String> rows,
            String signature,
            Optional<EndpointError> error,
            String text,
            State state,
            Optional<LogPosition> position,
            Optional<ReplicationStatus> status) {
        this(rows, signature, error, text, state, position, status, true);
    }

    /** Returns this response as one that may repeat the response to an earlier command. */
    public SessionResult asUncertain() {
        return new SessionResult(rows, signature, error, text, state, position, status, false);
    }

    /** Returns the bytes of the rows that count in a budget. */
    public long countedBytes() {
        long bytes = rows.stream().mapToLong(row -> row.length() + ROW_OVERHEAD_BYTES).sum();
        return Math.max(0, bytes - SMALL_ROWS_BYTES);
    }

    /** Transaction state of a connection. */
    public enum State {
        /** No transaction is open. */
        IDLE,
        /** A transaction is open. */
        TRANSACTION,
        /** The transaction has failed and can only be rolled back. */
        FAILED
    }
}
