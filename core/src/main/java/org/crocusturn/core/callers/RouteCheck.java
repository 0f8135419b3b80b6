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
 * The result of checking whether a session may use the database that it requests.
 *
 * @param route route of the database, if the session may use it
 * @param workspace workspace of the session's key, if the session may use the route
 * @param failure reason for rejecting the session, if it is rejected
 */
public record RouteCheck(
        Optional<Route> route, Optional<WorkspaceId> workspace, Optional<Failure> failure) {
    /** Workspace of callers without a valid key on a route that is open to all. */
    public static final WorkspaceId ANONYMOUS = WorkspaceId.of("anyone");

    /** Checks that no component is null. */
    public RouteCheck {
        Objects.requireNonNull(route, "route");
        Objects.requireNonNull(workspace, "workspace");
        Objects.requireNonNull(failure, "failure");
    }

    /**
     * Checks a database name and a key against a host's copy of the replicated state.
     *
     * @param state replicated state
     * @param database database name that the session requests
     * @param keyHash SHA-256 of the session's key in lower-case hexadecimal; empty without a key
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
        return new RouteCheck(route, Optional.of(workspace.orElse(ANONYMOUS)), Optional.empty());
    }

    /**
     * Returns this check, or a rejection if the key no longer belongs to the workspace in which the
     * session was opened.
     *
     * <p>Without this check, a session on a route that is open to all would continue anonymously
     * after its key is withdrawn, and the endpoint would receive a workspace that is not the
     * caller's.
     *
     * @param sessionWorkspace workspace in which the session was opened
     */
    public RouteCheck forSessionOf(WorkspaceId sessionWorkspace) {
        boolean changedWorkspace =
                !sessionWorkspace.equals(ANONYMOUS)
                        && workspace.filter(w -> !w.equals(sessionWorkspace)).isPresent();
        return changedWorkspace
                ? refused(
                        ErrorCode.KEY_REFUSED,
                        "the key no longer belongs to workspace " + sessionWorkspace)
                : this;
    }

    private static RouteCheck refused(ErrorCode code, String message) {
        return new RouteCheck(
                Optional.empty(), Optional.empty(), Optional.of(Failure.notRun(code, message)));
    }
}
