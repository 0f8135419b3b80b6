package org.crocusturn.daemon.entryhosts;

import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.HostId;
import org.crocusturn.core.controlhosts.EntryReport;
import org.crocusturn.core.controlhosts.JoinRequest;
import org.crocusturn.core.endpoints.EndpointCommandResult;
import org.crocusturn.core.endpoints.EndpointObservation;
import org.crocusturn.core.operators.ControlCommand;
import org.crocusturn.core.operators.ControlState;
import org.crocusturn.core.operators.EndpointRecord;

/** Is what the leader duty of a control host reacts to. */
public sealed interface LeaderEvent {
    /** This host began to lead; the state includes all entries of earlier terms. */
    record Gained(long term, ControlState state) implements LeaderEvent {
        /** Checks that the state is not null. */
        public Gained {
            Objects.requireNonNull(state, "state");
        }
    }

    /** This host does not lead any more. */
    record Lost() implements LeaderEvent {}

    /** A command was committed and applied. */
    record Applied(long version, ControlCommand command, ControlState state)
            implements LeaderEvent {
        /** Checks that no part is null. */
        public Applied {
            Objects.requireNonNull(command, "command");
            Objects.requireNonNull(state, "state");
        }
    }

    /** An entry host reported. */
    record Reported(HostId link, EntryReport report) implements LeaderEvent {
        /** Checks that no part is null. */
        public Reported {
            Objects.requireNonNull(link, "link");
            Objects.requireNonNull(report, "report");
        }
    }

    /** The link to an entry host closed. */
    record LinkClosed(HostId host) implements LeaderEvent {
        /** Checks that the host is not null. */
        public LinkClosed {
            Objects.requireNonNull(host, "host");
        }
    }

    /** The status monitor saw something of an endpoint. */
    record Observed(EndpointObservation observation) implements LeaderEvent {
        /** Checks that the observation is not null. */
        public Observed {
            Objects.requireNonNull(observation, "observation");
        }
    }

    /** A command to an endpoint ended. */
    record Ordered(EndpointCommandResult result) implements LeaderEvent {
        /** Checks that the result is not null. */
        public Ordered {
            Objects.requireNonNull(result, "result");
        }
    }

    /** An endpoint announced itself. */
    record Announced(EndpointRecord endpoint) implements LeaderEvent {
        /** Checks that the endpoint is not null. */
        public Announced {
            Objects.requireNonNull(endpoint, "endpoint");
        }
    }

    /** An endpoint told that it is gone. */
    record Departed(EndpointId endpoint) implements LeaderEvent {
        /** Checks that the endpoint is not null. */
        public Departed {
            Objects.requireNonNull(endpoint, "endpoint");
        }
    }

    /** A host asks to be a member of the consensus group. */
    record JoinAsked(JoinRequest request) implements LeaderEvent {
        /** Checks that the request is not null. */
        public JoinAsked {
            Objects.requireNonNull(request, "request");
        }
    }

    /** Someone asks which entry hosts are alive. */
    record HostsAsked(CompletableFuture<Set<HostId>> reply) implements LeaderEvent {
        /** Checks that the reply is not null. */
        public HostsAsked {
            Objects.requireNonNull(reply, "reply");
        }
    }
}
