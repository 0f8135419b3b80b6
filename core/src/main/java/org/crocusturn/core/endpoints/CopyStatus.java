package org.crocusturn.core.endpoints;

import java.util.Objects;
import org.crocusturn.core.LogPosition;
import org.crocusturn.core.callers.Role;

/**
 * The status that an endpoint reports for one of its databases.
 *
 * @param database name of the database
 * @param role role that the copy assumes
 * @param term highest term that the copy knows; fencing raises it
 * @param position term and index of the last entry in its log; the index increases by one with each
 *     write and is never reset
 * @param lagMillis age of the data in milliseconds as known to the copy; 0 at a primary, and {@link
 *     Long#MAX_VALUE} if the copy has no connection to a primary
 */
public record CopyStatus(
        String database, Role role, long term, LogPosition position, long lagMillis) {
    /** Rejects null components. */
    public CopyStatus {
        Objects.requireNonNull(database, "database");
        Objects.requireNonNull(role, "role");
        Objects.requireNonNull(position, "position");
    }
}
