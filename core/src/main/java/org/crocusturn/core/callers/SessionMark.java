package org.crocusturn.core.callers;

import java.util.Objects;
import org.crocusturn.core.LogPosition;

/**
 * The positions that a session has seen in one group.
 *
 * @param lastWrite term and index of the session's last acknowledged write
 * @param lastRead term and index of the newest data that the session read
 */
public record SessionMark(LogPosition lastWrite, LogPosition lastRead) {
    /** The mark of a session that has neither read nor written. */
    public static final SessionMark NONE = new SessionMark(LogPosition.ZERO, LogPosition.ZERO);

    /** Checks that no component is null. */
    public SessionMark {
        Objects.requireNonNull(lastWrite, "lastWrite");
        Objects.requireNonNull(lastRead, "lastRead");
    }

    /** Returns the position that a copy must have reached to serve a read of the session. */
    public LogPosition required() {
        return lastWrite.max(lastRead);
    }

    /** Returns a copy that includes a write at a position. */
    public SessionMark withWrite(LogPosition position) {
        return new SessionMark(lastWrite.max(position), lastRead);
    }

    /** Returns a copy that includes a read of data at a position. */
    public SessionMark withRead(LogPosition position) {
        return new SessionMark(lastWrite, lastRead.max(position));
    }
}
