package org.crocusturn.core.endpoints;

import java.util.Objects;
import org.crocusturn.core.operators.ControlCommand;

/** An action that a failover decision requests. */
public sealed interface FailoverAction {
    /** Propose a command to the control log. */
    record Propose(ControlCommand command) implements FailoverAction {
        /** Rejects a null command. */
        public Propose {
            Objects.requireNonNull(command, "command");
        }
    }

    /** Send a command to an endpoint. */
    record SendCommand(EndpointCommand command) implements FailoverAction {
        /** Rejects a null command. */
        public SendCommand {
            Objects.requireNonNull(command, "command");
        }
    }

    /** Log a decision and its reason. */
    record Log(String text) implements FailoverAction {
        /** Rejects a null text. */
        public Log {
            Objects.requireNonNull(text, "text");
        }
    }
}
