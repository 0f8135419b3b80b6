package org.crocusturn.core.callers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.crocusturn.core.ErrorCode;
import org.crocusturn.core.Failure;
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.operators.AcknowledgeMode;
import org.crocusturn.core.operators.Configuration;
import org.crocusturn.core.operators.Consistency;
import org.crocusturn.core.operators.ControlCommand;
import org.crocusturn.core.operators.ControlState;
import org.crocusturn.core.operators.ControlStateMachine;
import org.crocusturn.core.operators.KeyRecord;
import org.crocusturn.core.operators.PromotionMode;
import org.crocusturn.core.operators.RateLimit;
import org.crocusturn.core.operators.Route;
import org.crocusturn.core.operators.Service;
import org.crocusturn.core.operators.SessionLimits;
import org.crocusturn.core.operators.Workspace;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

final class RouteCheckTest {
    private static final WorkspaceId FIRST = WorkspaceId.of("first");
    private static final WorkspaceId SECOND = WorkspaceId.of("second");
    private static final WorkspaceId ANONYMOUS = RouteCheck.ANONYMOUS;
    private static final String KEY = "a".repeat(64);
    private static final int MAX_MESSAGE_CHARACTERS = 200;

    static Stream<Arguments> sessions() {
        ErrorCode refused = ErrorCode.KEY_REFUSED;
        ErrorCode missing = ErrorCode.NOT_FOUND;
        return Stream.of(
                Arguments.of("open", "key still in force", FIRST, FIRST, null, false),
                Arguments.of("open", "key withdrawn", FIRST, null, refused, true),
                Arguments.of("open", "key of another workspace", FIRST, SECOND, refused, true),
                Arguments.of("open", "no key", ANONYMOUS, null, null, false),
                Arguments.of("open", "key issued after opening", ANONYMOUS, FIRST, null, false),
                Arguments.of("closed", "key still in force", FIRST, FIRST, null, false),
                Arguments.of("closed", "key withdrawn", FIRST, null, refused, true),
                Arguments.of("closed", "key of another workspace", FIRST, SECOND, refused, true),
                Arguments.of("closed", "no key", ANONYMOUS, null, refused, false),
                Arguments.of("closed", "key issued after opening", ANONYMOUS, FIRST, null, false),
                Arguments.of("missing", "key still in force", FIRST, FIRST, missing, false),
                Arguments.of("missing", "key withdrawn", FIRST, null, refused, true),
                Arguments.of("missing", "key of another workspace", FIRST, SECOND, refused, true),
                Arguments.of("missing", "no key", ANONYMOUS, null, missing, false));
    }

    /** Guards against an answer, or a log line, that is as long as the name that it quotes. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 100, 101, 1 << 20})
    void shortensTheNameOfAMissingDatabase(int length) {
        String name = "x".repeat(length);
        Failure failure = RouteCheck.of(state("open", Optional.empty()), name, "").failure().get();
        assertEquals(ErrorCode.NOT_FOUND, failure.code());
        assertTrue(failure.message().length() <= MAX_MESSAGE_CHARACTERS);
        assertEquals(length <= 100, failure.message().contains("\"" + name + "\""));
    }

    /**
     * Guards against a session that continues anonymously, or for another workspace, after its key
     * has been withdrawn or moved.
     */
    @ParameterizedTest(name = "{0} route, {1}")
    @MethodSource("sessions")
    void rejectsASessionWhoseKeyChangedItsWorkspace(
            String route,
            String name,
            WorkspaceId opened,
            WorkspaceId current,
            ErrorCode refusal,
            boolean endsTransaction) {
        RouteCheck check =
                RouteCheck.ofSession(
                        state(route, Optional.ofNullable(current)), "database", KEY, opened);
        assertEquals(Optional.ofNullable(refusal), check.failure().map(Failure::code));
        WorkspaceId expected = current == null ? ANONYMOUS : current;
        assertEquals(
                refusal == null ? Optional.of(expected) : Optional.empty(),
                check.access().map(RouteAccess::workspace));
        assertEquals(endsTransaction, check.endsTransaction());
    }

    private static ControlState state(String route, Optional<WorkspaceId> keyWorkspace) {
        Configuration configuration =
                new Configuration(
                        1,
                        List.of(),
                        Stream.of(FIRST, SECOND)
                                .map(w -> new Workspace(w, new RateLimit(9, 9), Set.of(), Map.of()))
                                .toList(),
                        List.of(
                                new Service(
                                        "service",
                                        List.of(Service.SINGLE_DATABASE),
                                        3,
                                        1,
                                        16,
                                        AcknowledgeMode.DURABLE,
                                        false,
                                        PromotionMode.LEASEHOLDER)),
                        List.of(),
                        Map.of(),
                        keyWorkspace.map(w -> new KeyRecord("key", KEY, w)).stream().toList(),
                        route.equals("missing") ? List.of() : List.of(route(route.equals("open"))),
                        SessionLimits.DEFAULT,
                        "");
        return ControlStateMachine.apply(
                        ControlState.EMPTY,
                        1,
                        new ControlCommand.ReplaceConfiguration("change", configuration))
                .state();
    }

    private static Route route(boolean open) {
        return new Route(
                "route",
                "database",
                "service",
                Consistency.PRIMARY,
                Duration.ZERO,
                Duration.ofSeconds(1),
                Duration.ofSeconds(1),
                1,
                open);
    }
}
