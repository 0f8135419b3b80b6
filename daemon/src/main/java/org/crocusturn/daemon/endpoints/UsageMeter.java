package org.crocusturn.daemon.endpoints;

import java.util.Optional;
import org.crocusturn.core.endpoints.EndpointError;
import org.crocusturn.core.entryhosts.SessionCall;

/** Counts the requests that endpoints run; used only by the thread of the groups. */
public interface UsageMeter {
    /** Returns the number of the window in which a statement is sent that is sent now. */
    long currentWindow();

    /**
     * Records that the outcome of a statement that was sent is known.
     *
     * @param call call of the statement
     * @param window window in which it was sent
     * @param error error of the endpoint; empty if it succeeded or got no answer
     */
    void record(SessionCall call, long window, Optional<EndpointError> error);

    /** Passes changed counts on if that is due, and returns the time of the next call. */
    long onTimer(long nowNanos);

    /** Passes changed counts on immediately. */
    void flush(long nowNanos);
}
