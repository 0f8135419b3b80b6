package org.crocusturn.core.operators;

import java.util.Objects;

/**
 * Is one semantic fault of a configuration.
 *
 * @param path where the fault is, such as {@code workspaces[2].rate.burst}
 * @param value the faulty value as text
 * @param allowed what would be allowed
 */
public record ConfigurationFault(String path, String value, String allowed) {
    /** Checks that no part is null. */
    public ConfigurationFault {
        Objects.requireNonNull(path, "path");
        Objects.requireNonNull(value, "value");
        Objects.requireNonNull(allowed, "allowed");
    }

    @Override
    public String toString() {
        return path + ": \"" + value + "\" is not allowed, it must be " + allowed;
    }
}
