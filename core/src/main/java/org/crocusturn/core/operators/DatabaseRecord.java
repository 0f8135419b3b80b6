package org.crocusturn.core.operators;

import java.util.Objects;

/**
 * A database of an endpoint, as announced by the endpoint.
 *
 * @param name name of the database
 * @param slots number of statements that the database runs concurrently
 * @param connections number of connections that the database accepts
 */
public record DatabaseRecord(String name, int slots, int connections) {
    /** Checks the ranges. */
    public DatabaseRecord {
        Objects.requireNonNull(name, "name");
        if (slots < 1 || connections < 1) {
            throw new IllegalArgumentException(
                    "slots " + slots + " and connections " + connections + " must be at least 1");
        }
    }
}
