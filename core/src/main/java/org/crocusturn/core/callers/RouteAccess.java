package org.crocusturn.core.callers;

import java.util.Objects;
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.operators.Route;

/**
 * The permission of a session to use a route. Immutable.
 *
 * @param route the route
 * @param workspace workspace for which statements on the route run
 */
public record RouteAccess(Route route, WorkspaceId workspace) {
    /** Checks that no component is null. */
    public RouteAccess {
        Objects.requireNonNull(route, "route");
        Objects.requireNonNull(workspace, "workspace");
    }
}
