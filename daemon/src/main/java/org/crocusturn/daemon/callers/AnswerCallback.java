package org.crocusturn.daemon.callers;

/**
 * Takes the answer to one request; can be called from any thread, and only the first call counts.
 */
@FunctionalInterface
public interface AnswerCallback {
    /** Sends the answer to the caller. */
    void complete(CallerAnswer answer);
}
