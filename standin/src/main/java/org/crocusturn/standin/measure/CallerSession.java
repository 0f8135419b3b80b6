package org.crocusturn.standin.measure;

import java.util.Optional;

/**
 * Is what a caller knows about its own session.
 *
 * @param id number of the session, which no other session has
 * @param token session token of the latest answer
 * @param sentWrites number of the last write that was sent
 * @param acknowledgedWrites number of the last write that was acknowledged
 * @param lastWriteNanos time since the start of the load of the last answer to a write
 */
record CallerSession(
        long id,
        Optional<String> token,
        long sentWrites,
        long acknowledgedWrites,
        long lastWriteNanos) {
    static CallerSession of(long id) {
        return new CallerSession(id, Optional.empty(), 0, 0, Long.MIN_VALUE);
    }

    CallerSession withWriteSent() {
        return new CallerSession(id, token, sentWrites + 1, acknowledgedWrites, lastWriteNanos);
    }

    CallerSession withToken(Optional<String> newer) {
        return new CallerSession(
                id, newer.or(() -> token), sentWrites, acknowledgedWrites, lastWriteNanos);
    }

    CallerSession withWriteCompleted(boolean succeeded, long nanos) {
        return new CallerSession(
                id, token, sentWrites, succeeded ? sentWrites : acknowledgedWrites, nanos);
    }
}
