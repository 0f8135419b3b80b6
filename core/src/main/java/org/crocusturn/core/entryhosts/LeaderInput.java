package org.crocusturn.core.entryhosts;

import java.util.Objects;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.HostId;
import org.crocusturn.core.controlhosts.EntryReport;
import org.crocusturn.core.endpoints.EndpointCommandResult;
import org.crocusturn.core.endpoints.EndpointObservation;
import org.crocusturn.core.operators.ControlCommand;
import org.crocusturn.core.operators.ControlState;
import org.crocusturn.core.operators.EndpointRecord;

/** Input of {@link ControlLeader}; passed only while the host's leader lease is valid. */
public sealed interface LeaderInput {
    /**
     * The host became leader. Passed after all entries of earlier terms in its log are committed
     * and applied, and before any other input of the term.
     *
     * @param term consensus term
     * @param state applied state
     * @param history commands that led to the state, as far as the host has kept them
     */
    record LeadershipGained(long term, ControlState state, CommandHistory history)
            implements LeaderInput {
        /** Checks that the history ends with the state. */
        public LeadershipGained {
            Objects.requireNonNull(state, "state");
            if (history.replacement().state().version() != state.version()) {
                throw new IllegalArgumentException(
                        "the history ends at version "
                                + history.replacement().state().version()
                                + ", not at "
                                + state.version());
            }
        }

        /** Creates the input of a host that has kept no commands. */
        public LeadershipGained(long term, ControlState state) {
            this(term, state, CommandHistory.of(state));
        }
    }

    /** A command was committed and applied; {@code state} is the resulting state. */
    record CommandApplied(long version, ControlCommand command, ControlState state)
            implements LeaderInput {
        /** Checks that no part is null. */
        public CommandApplied {
            Objects.requireNonNull(command, "command");
            Objects.requireNonNull(state, "state");
        }
    }

    /** A report arrived from an entry host. */
    record ReportReceived(EntryReport report) implements LeaderInput {
        /** Checks that the report is not null. */
        public ReportReceived {
            Objects.requireNonNull(report, "report");
        }
    }

    /** The link to an entry host closed. */
    record EntryLinkClosed(HostId host) implements LeaderInput {
        /** Checks that the host is not null. */
        public EntryLinkClosed {
            Objects.requireNonNull(host, "host");
        }
    }

    /** The status monitor observed an endpoint. */
    record EndpointObserved(EndpointObservation observation) implements LeaderInput {
        /** Checks that the observation is not null. */
        public EndpointObserved {
            Objects.requireNonNull(observation, "observation");
        }
    }

    /** A command to an endpoint succeeded or failed. */
    record CommandFinished(EndpointCommandResult result) implements LeaderInput {
        /** Checks that the result is not null. */
        public CommandFinished {
            Objects.requireNonNull(result, "result");
        }
    }

    /** An endpoint announced itself. */
    record AnnouncementReceived(EndpointRecord endpoint) implements LeaderInput {
        /** Checks that the endpoint is not null. */
        public AnnouncementReceived {
            Objects.requireNonNull(endpoint, "endpoint");
        }
    }

    /** An endpoint reported its departure. */
    record DepartureReceived(EndpointId endpoint) implements LeaderInput {
        /** Checks that the endpoint is not null. */
        public DepartureReceived {
            Objects.requireNonNull(endpoint, "endpoint");
        }
    }

    /** Time passed. This input must follow at least every 50 ms. */
    record Tick() implements LeaderInput {}
}
