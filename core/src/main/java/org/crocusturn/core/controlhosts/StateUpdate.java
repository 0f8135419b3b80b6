package org.crocusturn.core.controlhosts;

import java.util.List;
import java.util.Objects;
import org.crocusturn.core.operators.ControlCommand;
import org.crocusturn.core.operators.ControlState;

/** An update of an entry host's copy of the replicated state. */
public sealed interface StateUpdate {
    /** The copy is up to date. */
    record Unchanged() implements StateUpdate {}

    /**
     * The commands after a version, in order, each with its version. A copy at an earlier version
     * lacks changes that were lost on their way, and must not apply them.
     *
     * @param baseVersion version that the first command follows
     * @param commands the commands
     */
    record Changes(long baseVersion, List<VersionedCommand> commands) implements StateUpdate {
        /** Copies the commands. */
        public Changes {
            commands = List.copyOf(commands);
        }
    }

    /** The whole state, for a copy that is too far behind. */
    record Replacement(ControlState state) implements StateUpdate {
        /** Checks that the state is not null. */
        public Replacement {
            Objects.requireNonNull(state, "state");
        }
    }

    /**
     * A committed command with the version of the state after it.
     *
     * @param version log index of the command
     * @param command the command
     */
    record VersionedCommand(long version, ControlCommand command) {
        /** Checks that the command is not null. */
        public VersionedCommand {
            Objects.requireNonNull(command, "command");
        }
    }
}
