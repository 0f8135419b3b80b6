package org.crocusturn.daemon.endpoints;

import java.util.Objects;
import org.crocusturn.core.GroupId;
import org.crocusturn.core.HostId;
import org.crocusturn.core.controlhosts.ControlView;
import org.crocusturn.core.endpoints.DatabaseResult;
import org.crocusturn.core.endpoints.EndpointObservation;
import org.crocusturn.core.entryhosts.ForwardedRequest;

/** Event handled by {@link GroupsDuty}. */
public sealed interface GroupsEvent {
    /** A request arrived from this host or over the link that the origin names. */
    record RequestArrived(HostId origin, ForwardedRequest request) implements GroupsEvent {
        /** Checks that no part is null. */
        public RequestArrived {
            Objects.requireNonNull(origin, "origin");
            Objects.requireNonNull(request, "request");
        }
    }

    /** The control view changed; its new rate tokens are to be distributed. */
    record ViewChanged(ControlView view) implements GroupsEvent {
        /** Checks that the view is not null. */
        public ViewChanged {
            Objects.requireNonNull(view, "view");
        }
    }

    /** A connection is open. */
    record ConnectionOpened(GroupId group, long connection, DatabaseClient client)
            implements GroupsEvent {
        /** Checks that no part is null. */
        public ConnectionOpened {
            Objects.requireNonNull(group, "group");
            Objects.requireNonNull(client, "client");
        }
    }

    /** A connection could not be opened or was closed by the other side. */
    record ConnectionFailed(GroupId group, long connection) implements GroupsEvent {
        /** Checks that the group is not null. */
        public ConnectionFailed {
            Objects.requireNonNull(group, "group");
        }
    }

    /** A command completed. */
    record CommandCompleted(GroupId group, long connection, long command, DatabaseResult result)
            implements GroupsEvent {
        /** Checks that no part is null. */
        public CommandCompleted {
            Objects.requireNonNull(group, "group");
            Objects.requireNonNull(result, "result");
        }
    }

    /** The status monitor reported an observation of an endpoint. */
    record EndpointObserved(EndpointObservation observation) implements GroupsEvent {
        /** Checks that the observation is not null. */
        public EndpointObserved {
            Objects.requireNonNull(observation, "observation");
        }
    }

    /** The host is shutting down and hands its leases over. */
    record HandoverRequested() implements GroupsEvent {}
}
