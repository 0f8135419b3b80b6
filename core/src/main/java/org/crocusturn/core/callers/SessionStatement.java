package org.crocusturn.core.callers;

import java.util.Objects;

/**
 * Is one statement of a session as its caller sent it.
 *
 * @param id caller's id of the statement; databases are told it
 * @param kind what the statement does
 * @param name session value, prepared statement or item that it names; empty if none
 * @param argument what follows the name; empty if nothing does
 * @param text whole text, which reaches a database unchanged
 */
public record SessionStatement(
        String id, StatementKind kind, String name, String argument, String text) {
    /** Checks that no part is null. */
    public SessionStatement {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(argument, "argument");
        Objects.requireNonNull(text, "text");
    }
}
