package org.crocusturn.core.callers;

import java.util.Objects;

/**
 * The statement that a prepared statement runs.
 *
 * @param write whether the statement writes
 * @param shape name of the statement's shape, as given by the caller
 */
public record PreparedShape(boolean write, String shape) {
    /** Checks that the shape is not null. */
    public PreparedShape {
        Objects.requireNonNull(shape, "shape");
    }
}
