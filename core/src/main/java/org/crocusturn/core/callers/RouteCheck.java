package org.crocusturn.core.callers;

import java.util.Objects;
import java.util.Optional;
import org.crocusturn.core.ErrorCode;
import org.crocusturn.core.Failure;
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.operators.ControlState;
import org.crocusturn.core.operators.KeyRecord;
import org.crocusturn.core.operators.Route;

/**
 * Tells whether a session may use the database that it asked for.
 *
 * @param route the route, if it may
 * @param workspace workspace of the key, if it may
 * @param failure why it may not, if so
 */
public record RouteCheck(
        Optional<Route> route, Optional<WorkspaceId> workspace, Optional<Failure> failure) {
    /** Workspace of callers without a key on a route that is open to all. */
    public static final WorkspaceId ANYONE = WorkspaceId.of("anyone");

    /** Checks that no part is null. */
    public RouteCheck {
        Objects.requireNonNull(route, "route");
        Objects.requireNonNull(workspace, "workspace");
        Objects.requireNonNull(failure, "failure");
    }

    /**
     * Checks a database name and a key against the state that a host has.
     *
     * @param state replicated state
     * @param database database name that the session asks for
     * @param keyHash SHA-256 of its key in lower-case hexadecimal; empty without a key
     */
    public static RouteCheck of(ControlState state, String database, String keyHash) {
        Optional<Route> route = state.configuration().route(database);
        if (route.isEmpty()) {
            return refused(ErrorCode.NOT_FOUND, "database " + database + " does not exist");
        }
        Optional<WorkspaceId> workspace =
                Optional.ofNullable(state.keys().get(keyHash)).map(KeyRecord::workspace);
        if (workspace.isEmpty() && !route.get().open()) {
            return refused(ErrorCode.KEY_REFUSED, "the key is not in force");
        }
        return new RouteCheck(route, Optional.of(workspace.orElse(ANYONE)), Optional.empty());
    }

    /**
     * Returns this check for a statement of a session, refused if its key has left its workspace.
     *
     * <p>On a route that is open to all, a session whose key is withdrawn would otherwise go on as
     * a caller without a key, and the endpoint would be told a workspace that is not the caller's.
     *
     * @param opened workspace under which the session was opened
     */
    public RouteCheck forSessionOf(WorkspaceId opened) {
        boolean left =
                !opened.equals(ANYONE) && workspace.filter(w -> !w.equals(opened)).isPresent();
        return left ? refused(ErrorCode.KEY_REFUSED, "the key has left workspace " + opened) : this;
    }

    private static RouteCheck refused(ErrorCode code, String message) {
        return new RouteCheck(
                Optional.empty(), Optional.empty(), Optional.of(Failure.notRun(code, message)));
    }
}
