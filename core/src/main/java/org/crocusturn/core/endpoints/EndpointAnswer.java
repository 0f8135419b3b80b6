package org.crocusturn.core.endpoints;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.crocusturn.core.LogPosition;

/**
 * An answer as it was read from a connection to an endpoint, before it is known which command it
 * belongs to.
 *
 * @param rows rows in order
 * @param signature signature of the endpoint; empty if the answer has none
 * @param error the error, if the answer reports one
 * @param text error message, with its code
 * @param state transaction state of the connection
 * @param position log position of the endpoint; empty if not reported
 */
public record EndpointAnswer(
        List<String> rows,
        String signature,
        Optional<EndpointError> error,
        String text,
        SessionResult.State state,
        Optional<LogPosition> position) {
    /** Takes a defensive copy of the rows. */
    public EndpointAnswer {
        rows = List.copyOf(rows);
        Objects.requireNonNull(signature, "signature");
        Objects.requireNonNull(error, "error");
        Objects.requireNonNull(text, "text");
        Objects.requireNonNull(state, "state");
        Objects.requireNonNull(position, "position");
    }

    /** Returns whether the endpoint signed the answer, which identifies one run of a statement. */
    public boolean isSigned() {
        return error.filter(e -> e != EndpointError.ANSWER_TOO_LARGE).isEmpty()
                && !signature.isEmpty();
    }
}
