package org.crocusturn.core.endpoints;

import java.util.Objects;
import org.crocusturn.core.operators.ControlCommand;

/** Is what a failover decision asks for. */
public sealed interface FailoverAction {
    /** Commit a command. */
    record Propose(ControlCommand command) implements FailoverAction {
        /** Checks that the command is not null. */
        public Propose {
            Objects.requireNonNull(command, "command");
        }
    }

    /** Send a command to an endpoint. */
    record Order(EndpointCommand command) implements FailoverAction {
        /** Checks that the command is not null. */
        public Order {
            Objects.requireNonNull(command, "command");
        }
    }

    /** Write a log line: what was decided and why. */
    record Note(String text) implements FailoverAction {
        /** Checks that the text is not null. */
        public Note {
            Objects.requireNonNull(text, "text");
        }
    }
}
