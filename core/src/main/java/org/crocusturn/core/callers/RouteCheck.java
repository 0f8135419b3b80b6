package org.crocusturn.core.callers;

import java.util.Objects;
import java.util.Optional;
import org.crocusturn.core.ErrorCode;
import org.crocusturn.core.Failure;
import org.crocusturn.core.Names;
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.operators.ControlState;
import org.crocusturn.core.operators.KeyRecord;
import org.crocusturn.core.operators.Route;

/**
 * The result of checking whether a session may use the database that it requests.
 *
 * @param access the route and the workspace, if the session may use the database
 * @param failure reason for rejecting new work, if it is rejected
 * @param endsTransaction whether the failure also ends an open transaction, because the key no
 *     longer belongs to the workspace of the session or this host does not know whether it does. A
 *     change of the route applies from the next transaction on.
 */
public record RouteCheck(
        Optional<RouteAccess> access, Optional<Failure> failure, boolean endsTransaction) {
    /** Workspace of callers without a valid key on a route that is open to all. */
    public static final WorkspaceId ANONYMOUS = WorkspaceId.of("anyone");

    /** Checks that there is either an access or a failure. */
    public RouteCheck {
        Objects.requireNonNull(access, "access");
        Objects.requireNonNull(failure, "failure");
        if (access.isPresent() == failure.isPresent()) {
            throw new IllegalArgumentException("either access or failure must be present");
        }
    }

    /** Creates the check of a session that may not use its database. */
    public static RouteCheck refused(Failure failure, boolean endsTransaction) {
        return new RouteCheck(Optional.empty(), Optional.of(failure), endsTransaction);
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
            return refused(
                    ErrorCode.NOT_FOUND,
                    "database " + Names.quote(database) + " does not exist",
                    false);
        }
        Optional<WorkspaceId> workspace = workspace(state, keyHash);
        if (workspace.isEmpty() && !route.get().open()) {
            return refused(ErrorCode.KEY_REFUSED, "the key is not in force", false);
        }
        return new RouteCheck(
                Optional.of(new RouteAccess(route.get(), workspace.orElse(ANONYMOUS))),
                Optional.empty(),
                false);
    }

    /**
     * Checks the database name and the key of an open session, which is rejected if its key no
     * longer belongs to the workspace in which it was opened.
     *
     * <p>Without this rule, a session on a route that is open to all would continue anonymously
     * after its key is withdrawn, and the endpoint would receive a workspace that is not the
     * caller's.
     *
     * @param sessionWorkspace workspace in which the session was opened
     */
    public static RouteCheck ofSession(
            ControlState state, String database, String keyHash, WorkspaceId sessionWorkspace) {
        boolean keyLost =
                !sessionWorkspace.equals(ANONYMOUS)
                        && !workspace(state, keyHash).equals(Optional.of(sessionWorkspace));
        return keyLost
                ? refused(
                        ErrorCode.KEY_REFUSED,
                        "the key no longer belongs to workspace " + sessionWorkspace,
                        true)
                : of(state, database, keyHash);
    }

    private static Optional<WorkspaceId> workspace(ControlState state, String keyHash) {
        return Optional.ofNullable(state.keys().get(keyHash)).map(KeyRecord::workspace);
    }

    private static RouteCheck refused(ErrorCode code, String message, boolean endsTransaction) {
        return refused(Failure.notRun(code, message), endsTransaction);
    }
}
