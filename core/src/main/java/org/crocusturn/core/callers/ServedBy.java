package org.crocusturn.core.callers;

import java.util.Objects;
import org.crocusturn.core.EndpointId;

/**
 * Names the database copy that ran a statement.
 *
 * @param endpoint endpoint of the copy
 * @param role its role at that time
 * @param term term of the group
 */
public record ServedBy(EndpointId endpoint, Role role, long term) {
    /** Checks that no part is null. */
    public ServedBy {
        Objects.requireNonNull(endpoint, "endpoint");
        Objects.requireNonNull(role, "role");
    }
}
