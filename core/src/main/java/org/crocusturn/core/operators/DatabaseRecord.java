package org.crocusturn.core.operators;

import java.util.Objects;

/**
 * Is one database of an endpoint, as the endpoint announces it.
 *
 * @param name name of the database
 * @param slots statements that it runs at once
 * @param connections connections that it accepts
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
