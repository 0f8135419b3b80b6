package org.crocusturn.daemon.callers;

import org.crocusturn.core.Failure;
import org.crocusturn.core.callers.SessionOutcome;
import org.crocusturn.core.callers.SessionState;
import org.crocusturn.core.callers.SessionStatement;

/** Sends answers to one session in the protocol of its caller. Thread-safe; never blocks. */
public interface SessionChannel {
    /** Confirms that the session is open. */
    void accept();

    /** Reports why the session is refused and closes the connection. */
    void refuse(Failure failure);

    /** Answers a statement; the phase is that of the session after the statement. */
    void answer(SessionStatement statement, SessionOutcome outcome, SessionState.Phase phase);

    /** Closes the connection. */
    void close();
}
