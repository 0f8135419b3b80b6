package org.crocusturn.daemon.controlhosts;

import java.util.List;
import java.util.Map;
import org.crocusturn.core.operators.Configuration;
import org.crocusturn.core.operators.ControlCommand;
import org.crocusturn.core.operators.SessionLimits;

/** Builds configuration changes of a given size. */
final class LargeChange {
    private LargeChange() {}

    /** Returns a change to a configuration with a text of the given length. */
    static ControlCommand.ReplaceConfiguration of(int version, int documentLength) {
        return new ControlCommand.ReplaceConfiguration(
                "c" + version,
                new Configuration(
                        version,
                        List.of(),
                        List.of(),
                        List.of(),
                        List.of(),
                        Map.of(),
                        List.of(),
                        List.of(),
                        SessionLimits.DEFAULT,
                        "x".repeat(documentLength)));
    }
}
