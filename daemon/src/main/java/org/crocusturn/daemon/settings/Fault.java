package org.crocusturn.daemon.settings;

import java.util.Objects;

/**
 * Fault in a settings or configuration file.
 *
 * @param line line of the value, starting at 1; 0 if the fault has no line
 * @param path path of the value, such as {@code workspaces[2].rate}
 * @param value description of the value that was found
 * @param allowed description of the allowed values
 */
public record Fault(int line, String path, String value, String allowed) {
    /** Checks that no component is null. */
    public Fault {
        Objects.requireNonNull(path, "path");
        Objects.requireNonNull(value, "value");
        Objects.requireNonNull(allowed, "allowed");
    }

    @Override
    public String toString() {
        String where = line > 0 ? "line " + line + ": " : "";
        return where + path + ": found " + value + ", expected " + allowed;
    }
}
