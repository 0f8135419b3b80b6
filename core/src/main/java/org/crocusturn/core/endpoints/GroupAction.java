package org.crocusturn.core.endpoints;

import java.util.Objects;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.HostId;
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.callers.Outcome;

/** An action requested by a {@link GroupCoordinator}. */
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
        /** Rejects null components. */
        public OpenConnection {
            Objects.requireNonNull(endpoint, "endpoint");
            Objects.requireNonNull(database, "database");
        }
    }

    /** Close a connection or abort its opening; no further events are reported for it. */
    record CloseConnection(long connection) implements GroupAction {}

    /**
     * Send a command; its result carries the same connection and command numbers.
     *
     * @param connection the connection
     * @param command number of the command, unique within the group and host
     * @param payload the command
     * @param timeoutMillis time after which the result is {@link DatabaseResult.Lost}
     */
    record SendCommand(long connection, long command, DatabaseCommand payload, long timeoutMillis)
            implements GroupAction {
        /** Rejects a null command. */
        public SendCommand {
            Objects.requireNonNull(payload, "payload");
        }
    }

    /** Reply to a request; each request gets exactly one reply. */
    record Reply(HostId origin, long request, Outcome outcome) implements GroupAction {
        /** Rejects null components. */
        public Reply {
            Objects.requireNonNull(origin, "origin");
            Objects.requireNonNull(outcome, "outcome");
        }
    }

    /**
     * Log a routing decision.
     *
     * @param origin host that received the request
     * @param request number of the request
     * @param workspace workspace of the request
     * @param endpoint chosen endpoint
     * @param reason why the endpoint was chosen
     */
    record LogRoute(
            HostId origin, long request, WorkspaceId workspace, EndpointId endpoint, String reason)
            implements GroupAction {
        /** Rejects null components. */
        public LogRoute {
            Objects.requireNonNull(origin, "origin");
            Objects.requireNonNull(workspace, "workspace");
            Objects.requireNonNull(endpoint, "endpoint");
            Objects.requireNonNull(reason, "reason");
        }
    }

    /** Report to the control leader that an endpoint may have failed. */
    record SuspectEndpoint(EndpointId endpoint) implements GroupAction {
        /** Rejects a null endpoint. */
        public SuspectEndpoint {
            Objects.requireNonNull(endpoint, "endpoint");
        }
    }

    /** Send a report to the control leader immediately because a request waits for a rate token. */
    record TokensNeeded(WorkspaceId workspace) implements GroupAction {
        /** Rejects a null workspace. */
        public TokensNeeded {
            Objects.requireNonNull(workspace, "workspace");
        }
    }

    /** Report to the control leader that all requests have ended and all connections are closed. */
    record Released(long epoch) implements GroupAction {}
}
