package org.crocusturn.core.entryhosts;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Objects;
import org.crocusturn.core.controlhosts.StateUpdate;
import org.crocusturn.core.controlhosts.StateUpdate.VersionedCommand;
import org.crocusturn.core.operators.ControlCommand;
import org.crocusturn.core.operators.ControlState;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * The latest committed commands, for updates to entry hosts. Immutable.
 *
 * <p>Adding costs O(log commands); an update costs O(commands in the update).
 *
 * @param baseVersion version before the first command in the history
 * @param commands commands, oldest first
 */
public record CommandHistory(long baseVersion, PVector<VersionedCommand> commands) {
    /** Maximum number of commands; a host that is further behind receives the whole state. */
    public static final int MAX_COMMANDS = 1_000;

    /** Checks that the commands are not null. */
    public CommandHistory {
        Objects.requireNonNull(commands, "commands");
    }

    /** Creates the history of a new leader, which contains no commands. */
    public static CommandHistory of(long version) {
        return new CommandHistory(version, TreePVector.empty());
    }

    /** Returns the history with the latest applied command. */
    public CommandHistory plus(long version, ControlCommand command) {
        ControlCommand stored =
                command instanceof ControlCommand.ReplaceConfiguration replace
                        ? replace.withoutDocument()
                        : command;
        PVector<VersionedCommand> next = commands.plus(new VersionedCommand(version, stored));
        return next.size() <= MAX_COMMANDS
                ? new CommandHistory(baseVersion, next)
                : new CommandHistory(next.get(0).version(), next.minus(0));
    }

    /** Returns the update that takes a host from a version to a state. */
    public StateUpdate since(long knownVersion, ControlState state) {
        if (knownVersion >= state.version()) {
            return new StateUpdate.Unchanged();
        }
        if (knownVersion < baseVersion) {
            return new StateUpdate.Replacement(state.withoutDocument());
        }
        Deque<VersionedCommand> missing = new ArrayDeque<>();
        for (int i = commands.size() - 1; i >= 0; i--) {
            VersionedCommand command = commands.get(i);
            if (command.version() <= knownVersion) {
                break;
            }
            missing.addFirst(command);
        }
        return new StateUpdate.Changes(List.copyOf(missing));
    }
}
