package org.crocusturn.core.callers;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.Optional;
import java.util.stream.Stream;
import org.crocusturn.core.ErrorCode;
import org.crocusturn.core.Failure;
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.operators.Consistency;
import org.crocusturn.core.operators.Route;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

final class RouteCheckTest {
    private static final WorkspaceId FIRST = WorkspaceId.of("first");
    private static final WorkspaceId SECOND = WorkspaceId.of("second");
    private static final Route OPEN_ROUTE =
            new Route(
                    "route",
                    "database",
                    "service",
                    Consistency.PRIMARY,
                    Duration.ZERO,
                    Duration.ofSeconds(1),
                    Duration.ofSeconds(1),
                    1,
                    true);

    static Stream<Arguments> sessions() {
        return Stream.of(
                Arguments.of("key still in force", FIRST, FIRST, null),
                Arguments.of("key withdrawn", FIRST, RouteCheck.ANONYMOUS, ErrorCode.KEY_REFUSED),
                Arguments.of("key of another workspace", FIRST, SECOND, ErrorCode.KEY_REFUSED),
                Arguments.of("no key", RouteCheck.ANONYMOUS, RouteCheck.ANONYMOUS, null),
                Arguments.of(
                        "key issued after the session was opened",
                        RouteCheck.ANONYMOUS,
                        FIRST,
                        null));
    }

    /**
     * Guards against a session on an open route that continues anonymously, or for another
     * workspace, after its key has been withdrawn or moved.
     */
    @ParameterizedTest(name = "{0}")
    @MethodSource("sessions")
    void rejectsASessionWhoseKeyChangedItsWorkspace(
            String name, WorkspaceId opened, WorkspaceId current, ErrorCode refusal) {
        RouteCheck check =
                new RouteCheck(Optional.of(OPEN_ROUTE), Optional.of(current), Optional.empty())
                        .forSessionOf(opened);
        assertEquals(Optional.ofNullable(refusal), check.failure().map(Failure::code));
        assertEquals(refusal == null ? Optional.of(current) : Optional.empty(), check.workspace());
    }
}
