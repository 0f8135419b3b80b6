package org.crocusturn.core.callers;

import java.util.Objects;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The values and prepared statements of a session. They are kept for the whole session and do not
 * depend on the database connection that runs a statement. Immutable.
 *
 * @param values session values by name
 * @param prepared prepared statements by the name that the caller gave them
 */
public record SessionContext(PMap<String, String> values, PMap<String, PreparedShape> prepared) {
    /** Context of a new session. */
    public static final SessionContext EMPTY =
            new SessionContext(HashTreePMap.empty(), HashTreePMap.empty());

    /** Checks that no component is null. */
    public SessionContext {
        Objects.requireNonNull(values, "values");
        Objects.requireNonNull(prepared, "prepared");
    }

    /** Returns the number of values and prepared statements. */
    public int size() {
        return values.size() + prepared.size();
    }

    /** Returns the context after a statement for which {@link StatementKind#isLocal} holds. */
    public SessionContext with(SessionStatement statement) {
        return switch (statement.kind()) {
            case SET_VALUE ->
                    new SessionContext(
                            values.plus(statement.name(), statement.argument()), prepared);
            case PREPARE_READ -> withPrepared(statement, false);
            case PREPARE_WRITE -> withPrepared(statement, true);
            case DEALLOCATE -> new SessionContext(values, prepared.minus(statement.name()));
            default -> this;
        };
    }

    private SessionContext withPrepared(SessionStatement statement, boolean write) {
        PreparedShape shape = new PreparedShape(write, statement.argument());
        return new SessionContext(values, prepared.plus(statement.name(), shape));
    }
}
