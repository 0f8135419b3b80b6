package org.crocusturn.standin.database;

import java.util.List;
import org.crocusturn.core.LogPosition;

/**
 * A log entry with the statements of one committed write transaction.
 *
 * @param position term and index of the entry
 * @param commitNanos time of the commit on the primary, on the monotonic clock of this process
 * @param statements statements in execution order
 */
record CommittedEntry(LogPosition position, long commitNanos, List<LoggedStatement> statements) {
    CommittedEntry {
        statements = List.copyOf(statements);
    }
}
