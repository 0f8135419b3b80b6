package org.crocusturn.standin.measure;

import java.util.Optional;

/**
 * Is what a caller knows about its own session.
 *
 * @param id number of the session, which no other session has
 * @param token session token of the latest answer
 * @param sent number of the last write that was sent
 * @param acknowledged number of the last write that was acknowledged
 * @param writtenNanos time since the start of the load of the last answer to a write
 */
record CallerSession(
        long id, Optional<String> token, long sent, long acknowledged, long writtenNanos) {
    static CallerSession of(long id) {
        return new CallerSession(id, Optional.empty(), 0, 0, Long.MIN_VALUE);
    }

    CallerSession withSent() {
        return new CallerSession(id, token, sent + 1, acknowledged, writtenNanos);
    }

    CallerSession withToken(Optional<String> newer) {
        return new CallerSession(id, newer.or(() -> token), sent, acknowledged, writtenNanos);
    }

    CallerSession withWritten(boolean done, long nanos) {
        return new CallerSession(id, token, sent, done ? sent : acknowledged, nanos);
    }
}
