package org.crocusturn.core.callers;

import java.util.Objects;
import org.crocusturn.core.EndpointId;

/**
 * Identifies the copy of a database that ran a statement.
 *
 * @param endpoint endpoint that hosts the copy
 * @param role role of the endpoint when the statement ran
 * @param term term of the group when the statement ran
 */
public record ServedBy(EndpointId endpoint, Role role, long term) {
    /** Checks that no component is null. */
    public ServedBy {
        Objects.requireNonNull(endpoint, "endpoint");
        Objects.requireNonNull(role, "role");
    }
}
