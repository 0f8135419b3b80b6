package org.crocusturn.daemon.callers;

import java.util.Objects;
import java.util.Optional;
import org.crocusturn.core.Failure;
import org.crocusturn.core.callers.Outcome;

/**
 * Answer to a caller's request.
 *
 * @param outcome result or failure of the request
 * @param session encoded session token that the caller should send with its next request; empty if
 *     the previous token stays in use
 * @param closesConnection whether the connection is closed after the answer
 */
public record CallerAnswer(Outcome outcome, Optional<String> session, boolean closesConnection) {
    /** Checks that no part is null. */
    public CallerAnswer {
        Objects.requireNonNull(outcome, "outcome");
        Objects.requireNonNull(session, "session");
    }

    /** Creates an answer with a session token. */
    public static CallerAnswer of(Outcome outcome, String session) {
        return new CallerAnswer(outcome, Optional.of(session), false);
    }

    /** Creates the answer for a failure. */
    public static CallerAnswer of(Failure failure) {
        return new CallerAnswer(new Outcome.Failed(failure), Optional.empty(), false);
    }

    /** Returns a copy after which the connection is closed. */
    public CallerAnswer withClose() {
        return new CallerAnswer(outcome, session, true);
    }
}
