package org.crocusturn.core.operators;

import java.util.Objects;

/**
 * A semantic error in a configuration.
 *
 * @param path location of the error, such as {@code workspaces[2].rate.burst}
 * @param value invalid value as text
 * @param expected description of the valid values
 */
public record ConfigurationViolation(String path, String value, String expected) {
    /** Checks that no component is null. */
    public ConfigurationViolation {
        Objects.requireNonNull(path, "path");
        Objects.requireNonNull(value, "value");
        Objects.requireNonNull(expected, "expected");
    }

    @Override
    public String toString() {
        return path + ": \"" + value + "\" is not allowed, it must be " + expected;
    }
}
