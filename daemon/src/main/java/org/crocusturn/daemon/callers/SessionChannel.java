package org.crocusturn.daemon.callers;

import org.crocusturn.core.Failure;
import org.crocusturn.core.callers.SessionOutcome;
import org.crocusturn.core.callers.SessionState;
import org.crocusturn.core.callers.SessionStatement;

/** Answers one session in its caller's protocol. Thread-safe; never blocks. */
public interface SessionChannel {
    /** Tells that the session is open. */
    void accept();

    /** Tells why the session is not opened, and closes the connection. */
    void refuse(Failure failure);

    /** Answers a statement; the phase is that of the session afterwards. */
    void answer(SessionStatement statement, SessionOutcome outcome, SessionState.Phase phase);

    /** Closes the connection. */
    void close();
}
