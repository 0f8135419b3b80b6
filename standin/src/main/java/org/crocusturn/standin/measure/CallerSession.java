package org.crocusturn.standin.measure;

import java.util.Optional;

/**
 * The client-side state of a caller's session. Immutable.
 *
 * @param id unique number of the session
 * @param token session token of the latest answer that carried one
 * @param lastSentWrite number of the last write sent; 0 before the first
 * @param lastAcknowledgedWrite number of the last write acknowledged; 0 before the first
 * @param lastWriteNanos time at which the last write completed, since the start of the load; {@link
 *     Long#MIN_VALUE} before the first
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
