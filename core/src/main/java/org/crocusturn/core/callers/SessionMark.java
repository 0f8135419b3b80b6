package org.crocusturn.core.callers;

import java.util.Objects;
import org.crocusturn.core.LogPosition;

/**
 * Is what a session has seen of one group.
 *
 * @param lastWrite term and index of its last acknowledged write
 * @param lastRead term and index of the newest data that it read
 */
public record SessionMark(LogPosition lastWrite, LogPosition lastRead) {
    /** The mark of a session that did nothing yet. */
    public static final SessionMark NONE = new SessionMark(LogPosition.ZERO, LogPosition.ZERO);

    /** Checks that no part is null. */
    public SessionMark {
        Objects.requireNonNull(lastWrite, "lastWrite");
        Objects.requireNonNull(lastRead, "lastRead");
    }

    /** Returns the position that a copy must have reached to serve the session. */
    public LogPosition required() {
        return lastWrite.max(lastRead);
    }

    /** Returns a copy that knows a later write. */
    public SessionMark withWrite(LogPosition position) {
        return new SessionMark(lastWrite.max(position), lastRead);
    }

    /** Returns a copy that knows a later read. */
    public SessionMark withRead(LogPosition position) {
        return new SessionMark(lastWrite, lastRead.max(position));
    }
}
