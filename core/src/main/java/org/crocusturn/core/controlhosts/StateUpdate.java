package org.crocusturn.core.controlhosts;

import java.util.List;
import java.util.Objects;
import org.crocusturn.core.operators.ControlCommand;
import org.crocusturn.core.operators.ControlState;

/** Brings a follower's copy of the replicated state up to date. */
public sealed interface StateUpdate {
    /** Nothing changed. */
    record Unchanged() implements StateUpdate {}

    /** The commands after the known version, in order, each with its version. */
    record Changes(List<VersionedCommand> commands) implements StateUpdate {
        /** Copies the commands. */
        public Changes {
            commands = List.copyOf(commands);
        }
    }

    /** The whole state, for a follower that is too far behind. */
    record Replacement(ControlState state) implements StateUpdate {
        /** Checks that the state is not null. */
        public Replacement {
            Objects.requireNonNull(state, "state");
        }
    }

    /**
     * Is a committed command with the state version that it leads to.
     *
     * @param version index of its log entry
     * @param command the command
     */
    record VersionedCommand(long version, ControlCommand command) {
        /** Checks that the command is not null. */
        public VersionedCommand {
            Objects.requireNonNull(command, "command");
        }
    }
}
