package org.crocusturn.core.endpoints;

import java.util.Objects;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.HostId;
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.callers.Outcome;

/** Is what a {@link GroupCoordinator} wants done. */
public sealed interface GroupAction {
    /**
     * Open a connection; the database then closes the sessions of lower epochs.
     *
     * @param connection number of the connection, unique within the group and host
     * @param endpoint endpoint of the database
     * @param database name of the database
     * @param epoch lease epoch
     */
    record OpenConnection(long connection, EndpointId endpoint, String database, long epoch)
            implements GroupAction {
        /** Checks that no part is null. */
        public OpenConnection {
            Objects.requireNonNull(endpoint, "endpoint");
            Objects.requireNonNull(database, "database");
        }
    }

    /** Close a connection, also one that is being opened; nothing is reported of it any more. */
    record CloseConnection(long connection) implements GroupAction {}

    /**
     * Send a command; its result is reported with the same numbers.
     *
     * @param connection the connection
     * @param command number of the command, unique within the group and host
     * @param payload the command
     * @param timeoutMillis time after which the result is {@link DatabaseResult.Lost}
     */
    record SendCommand(long connection, long command, DatabaseCommand payload, long timeoutMillis)
            implements GroupAction {
        /** Checks that the command is not null. */
        public SendCommand {
            Objects.requireNonNull(payload, "payload");
        }
    }

    /** Answer a request; each request is answered once. */
    record Reply(HostId origin, long request, Outcome outcome) implements GroupAction {
        /** Checks that no part is null. */
        public Reply {
            Objects.requireNonNull(origin, "origin");
            Objects.requireNonNull(outcome, "outcome");
        }
    }

    /**
     * Log a routing decision.
     *
     * @param origin host that took the request
     * @param request number of the request
     * @param workspace workspace of the request
     * @param endpoint chosen endpoint
     * @param reason why it was chosen
     */
    record LogRoute(
            HostId origin, long request, WorkspaceId workspace, EndpointId endpoint, String reason)
            implements GroupAction {
        /** Checks that no part is null. */
        public LogRoute {
            Objects.requireNonNull(origin, "origin");
            Objects.requireNonNull(workspace, "workspace");
            Objects.requireNonNull(endpoint, "endpoint");
            Objects.requireNonNull(reason, "reason");
        }
    }

    /** Tell the control leader that an endpoint does not answer. */
    record SuspectEndpoint(EndpointId endpoint) implements GroupAction {
        /** Checks that the endpoint is not null. */
        public SuspectEndpoint {
            Objects.requireNonNull(endpoint, "endpoint");
        }
    }

    /** Report to the control leader at once: a request waits for a rate token. */
    record TokensNeeded(WorkspaceId workspace) implements GroupAction {
        /** Checks that the workspace is not null. */
        public TokensNeeded {
            Objects.requireNonNull(workspace, "workspace");
        }
    }

    /** Report to the control leader: all work ended and all connections are closed. */
    record Released(long epoch) implements GroupAction {}
}
