package org.crocusturn.core.endpoints;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.crocusturn.core.LogPosition;

/**
 * Is an endpoint's whole answer to one {@link SessionCommand}.
 *
 * @param rows rows in order
 * @param signature endpoint's signature of the answer; empty on an error
 * @param error the error, if there is one
 * @param text text of the error
 * @param state transaction of the connection afterwards
 * @param position position of the endpoint's log; empty if it told none
 * @param status what the endpoint told of itself, if it was asked
 */
public record SessionResult(
        List<String> rows,
        String signature,
        Optional<EndpointError> error,
        String text,
        State state,
        Optional<LogPosition> position,
        Optional<ReplicationStatus> status) {
    /** Copies the rows. */
    public SessionResult {
        rows = List.copyOf(rows);
        Objects.requireNonNull(signature, "signature");
        Objects.requireNonNull(error, "error");
        Objects.requireNonNull(text, "text");
        Objects.requireNonNull(state, "state");
        Objects.requireNonNull(position, "position");
        Objects.requireNonNull(status, "status");
    }

    /** Is the transaction of a connection. */
    public enum State {
        /** There is none. */
        IDLE,
        /** One is open. */
        TRANSACTION,
        /** One has failed and can only be ended. */
        FAILED
    }
}
