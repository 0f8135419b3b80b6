package org.crocusturn.core.entryhosts;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Objects;
import org.crocusturn.core.controlhosts.StateUpdate;
import org.crocusturn.core.controlhosts.StateUpdate.VersionedCommand;
import org.crocusturn.core.operators.Configuration;
import org.crocusturn.core.operators.ConfigurationDelta;
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
 * @param commandBytes approximate size of the commands in memory, in bytes
 * @param replacement state after the latest command; one instance for all hosts, so that it is
 *     encoded only once
 */
public record CommandHistory(
        long baseVersion,
        PVector<VersionedCommand> commands,
        long commandBytes,
        StateUpdate.Replacement replacement) {
    /** Maximum number of commands; a host that is further behind receives the whole state. */
    public static final int MAX_COMMANDS = 1_000;

    /** Maximum size of several commands in memory, in bytes. */
    public static final long MAX_COMMAND_BYTES = 8L << 20;

    /** Checks that no part is null. */
    public CommandHistory {
        Objects.requireNonNull(commands, "commands");
        Objects.requireNonNull(replacement, "replacement");
    }

    /** Creates the history of a new leader, which contains no commands. */
    public static CommandHistory of(ControlState state) {
        return new CommandHistory(
                state.version(), TreePVector.empty(), 0, replacement(state, Configuration.EMPTY));
    }

    private static StateUpdate.Replacement replacement(ControlState state, Configuration known) {
        Configuration latest = state.configuration();
        return new StateUpdate.Replacement(
                state.withConfiguration(
                                latest.version() == known.version()
                                        ? known
                                        : latest.withoutDocument(),
                                state.configurationChange())
                        .withUsage(state.usage().withoutCounts()));
    }

    /**
     * Returns what entry hosts need of a command: of a configuration what changed, which may be a
     * thousand times smaller, and no usage counts.
     */
    private static ControlCommand reduce(
            ControlCommand command, Configuration before, Configuration after) {
        if (command instanceof ControlCommand.CloseUsageWindow close) {
            return new ControlCommand.CloseUsageWindow(
                    close.fence(), close.window().withoutCounts());
        }
        if (command instanceof ControlCommand.ReplaceConfiguration replace) {
            return new ControlCommand.PatchConfiguration(
                    replace.changeId(), ConfigurationDelta.between(before, after), true);
        }
        return command instanceof ControlCommand.ApplyConfiguration apply
                ? new ControlCommand.PatchConfiguration(
                        apply.changeId(), ConfigurationDelta.between(before, after), false)
                : command;
    }

    /** Returns the history with the latest applied command, which led to a state. */
    public CommandHistory plus(long version, ControlCommand command, ControlState state) {
        Configuration before = replacement.state().configuration();
        ControlCommand stored = reduce(command, before, state.configuration());
        PVector<VersionedCommand> next = commands.plus(new VersionedCommand(version, stored));
        long base = baseVersion;
        long bytes = commandBytes + stored.approximateBytes();
        while (next.size() > MAX_COMMANDS || next.size() > 1 && bytes > MAX_COMMAND_BYTES) {
            base = next.get(0).version();
            bytes -= next.get(0).command().approximateBytes();
            next = next.minus(0);
        }
        return new CommandHistory(base, next, bytes, replacement(state, before));
    }

    /** Returns the update that takes a host from a version to the latest state. */
    public StateUpdate since(long knownVersion) {
        if (knownVersion >= replacement.state().version()) {
            return new StateUpdate.Unchanged();
        }
        if (knownVersion < baseVersion) {
            return replacement;
        }
        Deque<VersionedCommand> missing = new ArrayDeque<>();
        for (int i = commands.size() - 1; i >= 0; i--) {
            VersionedCommand command = commands.get(i);
            if (command.version() <= knownVersion) {
                break;
            }
            missing.addFirst(command);
        }
        return new StateUpdate.Changes(knownVersion, List.copyOf(missing));
    }
}
