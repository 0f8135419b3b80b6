package org.crocusturn.standin.measure;

import java.util.Optional;

/**
 * Is what a caller knows about its own session.
 *
 * @param id number of the session, which no other session has
 * @param token session token of the latest answer
 * @param lastSentWrite number of the last write that was sent
 * @param lastAcknowledgedWrite number of the last write that was acknowledged
 * @param lastWriteNanos time since the start of the load of the last answer to a write
 */
record CallerSession(
        long id,
        Optional<String> token,
        long lastSentWrite,
        long lastAcknowledgedWrite,
        long lastWriteNanos) {
    static CallerSession of(long id) {
        return new CallerSession(id, Optional.empty(), 0, 0, Long.MIN_VALUE);
    }

    CallerSession withWriteSent() {
        return new CallerSession(
                id, token, lastSentWrite + 1, lastAcknowledgedWrite, lastWriteNanos);
    }

    CallerSession withToken(Optional<String> newer) {
        return new CallerSession(
                id, newer.or(() -> token), lastSentWrite, lastAcknowledgedWrite, lastWriteNanos);
    }

    CallerSession withWriteCompleted(boolean succeeded, long nanos) {
        return new CallerSession(
                id, token, lastSentWrite, succeeded ? lastSentWrite : lastAcknowledgedWrite, nanos);
    }
}
