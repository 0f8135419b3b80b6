package org.crocusturn.core.controlhosts;

import java.util.Objects;
import org.crocusturn.core.LogPosition;

/**
 * An entry of the replicated log.
 *
 * @param position consensus term and index
 * @param content command, membership or empty content of the entry
 */
public record LogEntry(LogPosition position, LogContent content) {
    /** Checks that no part is null. */
    public LogEntry {
        Objects.requireNonNull(position, "position");
        Objects.requireNonNull(content, "content");
    }
}
