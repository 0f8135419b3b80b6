package org.crocusturn.core.operators;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.crocusturn.core.ErrorCode;
import org.crocusturn.core.Failure;
import org.crocusturn.core.operators.ControlCommand.ReplaceConfiguration;

/** Decides whether a configuration may replace the one in force. The highest version wins. */
final class ConfigurationReplacement {
    private ConfigurationReplacement() {}

    /**
     * Rejects an invalid configuration, and different content under the version that is in force.
     */
    static Optional<Failure> refusal(ControlState state, ReplaceConfiguration command) {
        Configuration next = command.configuration();
        List<ConfigurationViolation> violations = ConfigurationValidator.validate(next);
        if (!violations.isEmpty()) {
            return Optional.of(
                    Failure.notRun(
                            ErrorCode.MALFORMED_REQUEST,
                            violations.stream()
                                    .map(ConfigurationViolation::toString)
                                    .collect(Collectors.joining("; "))));
        }
        boolean differentContent =
                next.version() == state.configuration().version()
                        && !command.changeId().equals(state.configurationChange());
        return differentContent
                ? Optional.of(
                        Failure.notRun(
                                ErrorCode.CONFLICT,
                                "configuration version "
                                        + next.version()
                                        + " is in force with different content"))
                : Optional.empty();
    }

    /**
     * Changes nothing if the version in force is the same or higher; the command is acknowledged
     * nevertheless.
     */
    static ControlState accept(ControlState state, ReplaceConfiguration command) {
        Configuration next = command.configuration();
        if (next.version() <= state.configuration().version()) {
            return state;
        }
        Map<String, KeyRecord> keys =
                next.keys().stream()
                        .collect(Collectors.toMap(KeyRecord::hash, Function.identity()));
        return ConfigurationChange.accept(state, next, command.changeId()).withKeys(keys, Map.of());
    }
}
