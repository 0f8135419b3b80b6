package org.crocusturn.core.endpoints;

import java.util.Objects;
import org.crocusturn.core.LogPosition;
import org.crocusturn.core.callers.Role;

/**
 * Is what an endpoint exposes of one of its databases.
 *
 * @param database name of the database
 * @param role role that the copy believes to have
 * @param term highest term that the copy knows; a fence raises it
 * @param position term and index of the last entry in its log; the index of a group's log grows by
 *     one with each write and never restarts
 * @param lagMillis age of its data as known to the copy, in milliseconds; 0 at a primary, and
 *     {@link Long#MAX_VALUE} if it has no contact to a primary
 */
public record CopyStatus(
        String database, Role role, long term, LogPosition position, long lagMillis) {
    /** Checks that no part is null. */
    public CopyStatus {
        Objects.requireNonNull(database, "database");
        Objects.requireNonNull(role, "role");
        Objects.requireNonNull(position, "position");
    }
}
