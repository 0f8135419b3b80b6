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

/** An event of {@link LeaderDuty}. */
public sealed interface LeaderEvent {
    /** Returns the approximate size in memory of what only this event refers to, in bytes. */
    default long approximateBytes() {
        return 0;
    }

    /** This host became the leader; the state includes all entries of earlier terms. */
    record LeadershipGained(long term, ControlState state) implements LeaderEvent {
        /** Checks that the state is not null. */
        public LeadershipGained {
            Objects.requireNonNull(state, "state");
        }
    }

    /** This host is no longer the leader. */
    record LeadershipLost() implements LeaderEvent {}

    /** The applied state was replaced by a snapshot; the commands before it are not known. */
    record StateRestored(ControlState state) implements LeaderEvent {
        /** Checks that the state is not null. */
        public StateRestored {
            Objects.requireNonNull(state, "state");
        }
    }

    /** A command was committed and applied. */
    record CommandApplied(long version, ControlCommand command, ControlState state)
            implements LeaderEvent {
        /** Checks that no part is null. */
        public CommandApplied {
            Objects.requireNonNull(command, "command");
            Objects.requireNonNull(state, "state");
        }

        @Override
        public long approximateBytes() {
            return command.approximateBytes();
        }
    }

    /** A report arrived over the link of an entry host. */
    record ReportReceived(HostId link, EntryReport report) implements LeaderEvent {
        /** Checks that no part is null. */
        public ReportReceived {
            Objects.requireNonNull(link, "link");
            Objects.requireNonNull(report, "report");
        }
    }

    /** The link of an entry host was closed. */
    record EntryLinkClosed(HostId host) implements LeaderEvent {
        /** Checks that the host is not null. */
        public EntryLinkClosed {
            Objects.requireNonNull(host, "host");
        }
    }

    /** The status monitor observed an endpoint. */
    record EndpointObserved(EndpointObservation observation) implements LeaderEvent {
        /** Checks that the observation is not null. */
        public EndpointObserved {
            Objects.requireNonNull(observation, "observation");
        }
    }

    /** A command to an endpoint finished or timed out. */
    record CommandFinished(EndpointCommandResult result) implements LeaderEvent {
        /** Checks that the result is not null. */
        public CommandFinished {
            Objects.requireNonNull(result, "result");
        }
    }

    /** An endpoint announced itself. */
    record AnnouncementReceived(EndpointRecord endpoint) implements LeaderEvent {
        /** Checks that the endpoint is not null. */
        public AnnouncementReceived {
            Objects.requireNonNull(endpoint, "endpoint");
        }
    }

    /** An endpoint announced that it has stopped. */
    record DepartureReceived(EndpointId endpoint) implements LeaderEvent {
        /** Checks that the endpoint is not null. */
        public DepartureReceived {
            Objects.requireNonNull(endpoint, "endpoint");
        }
    }

    /** A host asked to become a member of the consensus group. */
    record JoinRequested(JoinRequest request) implements LeaderEvent {
        /** Checks that the request is not null. */
        public JoinRequested {
            Objects.requireNonNull(request, "request");
        }
    }

    /** A status request asked for the live entry hosts. */
    record LiveHostsRequested(CompletableFuture<Set<HostId>> reply) implements LeaderEvent {
        /** Checks that the reply is not null. */
        public LiveHostsRequested {
            Objects.requireNonNull(reply, "reply");
        }
    }
}
