package org.crocusturn.core.controlhosts;

import java.util.Objects;
import org.crocusturn.core.LogPosition;

/**
 * Is one entry of the replicated log.
 *
 * @param position consensus term and index
 * @param content what the entry holds
 */
public record LogEntry(LogPosition position, LogContent content) {
    /** Checks that no part is null. */
    public LogEntry {
        Objects.requireNonNull(position, "position");
        Objects.requireNonNull(content, "content");
    }
}
