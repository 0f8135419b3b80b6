package org.crocusturn.standin.database;

import java.util.List;
import org.crocusturn.core.LogPosition;

/**
 * Is the log entry of one committed write transaction.
 *
 * @param position term and index
 * @param commitNanos monotonic time of the commit on the primary, as known to this process
 * @param statements statements in order
 */
record CommittedEntry(LogPosition position, long commitNanos, List<LoggedStatement> statements) {
    CommittedEntry {
        statements = List.copyOf(statements);
    }
}
