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

    /**
     * Closes the connection if it has read no more statements than were handled. Otherwise a
     * statement is on its way to the duty, which answers it.
     *
     * @param handled number of statements of this session that the duty has received
     */
    void closeIfIdle(long handled);

    /** Closes the connection. */
    void close();
}
