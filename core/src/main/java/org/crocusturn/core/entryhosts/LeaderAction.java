package org.crocusturn.core.entryhosts;

import java.util.Objects;
import org.crocusturn.core.HostId;
import org.crocusturn.core.controlhosts.ControlUpdate;
import org.crocusturn.core.endpoints.EndpointCommand;
import org.crocusturn.core.operators.ControlCommand;

/** Action that the caller of {@link ControlLeader} has to perform. */
public sealed interface LeaderAction {
    /** Propose a command to the log; later steps repeat lost proposals. */
    record Propose(ControlCommand command) implements LeaderAction {
        /** Checks that the command is not null. */
        public Propose {
            Objects.requireNonNull(command, "command");
        }
    }

    /** Send an update over the link to an entry host. */
    record SendUpdate(HostId host, ControlUpdate update) implements LeaderAction {
        /** Checks that no part is null. */
        public SendUpdate {
            Objects.requireNonNull(host, "host");
            Objects.requireNonNull(update, "update");
        }
    }

    /** Send a command to an endpoint and pass its result to a later step. */
    record SendCommand(EndpointCommand command) implements LeaderAction {
        /** Checks that the command is not null. */
        public SendCommand {
            Objects.requireNonNull(command, "command");
        }
    }

    /** Write a log line that states a decision and its reason. */
    record Log(String text) implements LeaderAction {
        /** Checks that the text is not null. */
        public Log {
            Objects.requireNonNull(text, "text");
        }
    }
}
