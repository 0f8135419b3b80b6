package org.crocusturn.core.callers;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import org.crocusturn.core.Sha256;
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.operators.Configuration;
import org.crocusturn.core.operators.ControlCommand;
import org.crocusturn.core.operators.ControlState;
import org.crocusturn.core.operators.ControlStateMachine;
import org.crocusturn.core.operators.KeyRecord;
import org.crocusturn.core.operators.RateLimit;
import org.crocusturn.core.operators.SessionLimits;
import org.crocusturn.core.operators.Workspace;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a session that runs anonymously while the withdrawal of its key is in progress.
 * Two statements on an open route were sent to a database without a workspace shortly before the
 * operator received its answer.
 */
class WithdrawnKeysTest {
    private static final long MS = 1_000_000;
    private static final String HASH = Sha256.hex("key");
    private static final WorkspaceId FIRST = WorkspaceId.of("first");
    private static final WorkspaceId SECOND = WorkspaceId.of("second");

    @ParameterizedTest
    @CsvSource({
        // workspace of the key before and after the change (- for none), milliseconds since the
        // change, whether the key counts as withdrawn
        "first, -, 0, true",
        "first, -, 2999, true",
        "first, -, 3000, false",
        "first, second, 100, true",
        "first, first, 0, false",
        "-, first, 0, false"
    })
    void remembersKeysThatLeftTheirWorkspace(
            String before, String after, long laterMillis, boolean expected) {
        ControlState first = state(ControlState.EMPTY, 1, before);
        ControlState second = state(first, 2, after);
        ControlState third = state(second, 3, after);
        WithdrawnKeys keys =
                WithdrawnKeys.EMPTY
                        .afterChange(first, second, 5_000 * MS)
                        .afterChange(second, third, (5_000 + laterMillis) * MS);
        assertEquals(expected, keys.contains(HASH, (5_000 + laterMillis) * MS));
    }

    private static ControlState state(ControlState before, long version, String keyWorkspace) {
        List<KeyRecord> keys =
                Stream.of(keyWorkspace)
                        .filter(name -> !name.equals("-"))
                        .map(name -> new KeyRecord(HASH, HASH, WorkspaceId.of(name)))
                        .toList();
        Configuration configuration =
                new Configuration(
                        version,
                        List.of(),
                        Stream.of(FIRST, SECOND)
                                .map(w -> new Workspace(w, new RateLimit(1, 1), Set.of(), Map.of()))
                                .toList(),
                        List.of(),
                        List.of(),
                        Map.of(),
                        keys,
                        List.of(),
                        SessionLimits.DEFAULT,
                        "");
        return ControlStateMachine.apply(
                        before,
                        before.version() + 1,
                        new ControlCommand.ReplaceConfiguration("v" + version, configuration))
                .state();
    }
}
