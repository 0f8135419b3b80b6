package org.crocusturn.core.callers;

import java.util.Objects;

/**
 * Is what a prepared statement runs.
 *
 * @param write whether it writes
 * @param shape shape as the caller named it
 */
public record PreparedShape(boolean write, String shape) {
    /** Checks that the shape is not null. */
    public PreparedShape {
        Objects.requireNonNull(shape, "shape");
    }
}
