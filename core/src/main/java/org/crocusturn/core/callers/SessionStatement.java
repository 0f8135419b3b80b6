package org.crocusturn.core.callers;

import java.util.Objects;

/**
 * A statement of a session, as sent by the caller.
 *
 * @param id id that the caller gave the statement; it is passed on to the database
 * @param kind kind of the statement
 * @param name name of the session value, prepared statement or item that the statement refers to;
 *     empty if none
 * @param argument text after the name; may be empty
 * @param text complete text, which is forwarded to the database unchanged
 */
public record SessionStatement(
        String id, StatementKind kind, String name, String argument, String text) {
    /** Checks that no component is null. */
    public SessionStatement {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(argument, "argument");
        Objects.requireNonNull(text, "text");
    }
}
