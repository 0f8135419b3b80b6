package org.crocusturn.core.operators;

import java.util.Objects;

/**
 * A semantic error in a configuration.
 *
 * @param path location of the error, such as {@code workspaces[2].rate.burst}
 * @param value invalid value as text
 * @param allowed description of the valid values
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
