package org.crocusturn.daemon.callers;

/** Receives the answer to one request. Thread-safe; only the first call has an effect. */
@FunctionalInterface
public interface AnswerCallback {
    /** Sends the answer to the caller. */
    void complete(CallerAnswer answer);
}
