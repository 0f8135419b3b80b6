package org.crocusturn.core.operators;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.crocusturn.core.DataCentreId;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.ErrorCode;
import org.crocusturn.core.Failure;
import org.crocusturn.core.WorkspaceId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against a configuration that is replaced by an earlier version, and against delayed
 * announcements of endpoints.
 */
class ConfigurationReplacementTest {
    private static final WorkspaceId WORKSPACE = WorkspaceId.of("schools");

    static Stream<Arguments> replacements() {
        return Stream.of(
                Arguments.of("a higher version", 9L, "b", 9L, Optional.empty()),
                Arguments.of(
                        "a lower version is acknowledged and ignored",
                        3L,
                        "old",
                        7L,
                        Optional.empty()),
                Arguments.of("the same command again", 7L, "a", 7L, Optional.empty()),
                Arguments.of(
                        "different content", 7L, "other", 7L, Optional.of(ErrorCode.CONFLICT)));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("replacements")
    void keepsTheHighestVersion(
            String description,
            long version,
            String id,
            long inForce,
            Optional<ErrorCode> refusal) {
        ControlState first = apply(ControlState.EMPTY, 1, replace("a", 7, "k1")).state();
        ControlStateMachine.Applied next = apply(first, 2, replace(id, version, "k2"));
        assertEquals(inForce, next.state().configuration().version(), description);
        assertEquals(
                refusal, next.outcome().orElseThrow().refusal().map(Failure::code), description);
    }

    @Test
    void withdrawsUnlistedKeys() {
        ControlState first = apply(ControlState.EMPTY, 1, replace("a", 7, "k1")).state();
        ControlState next = apply(first, 2, replace("b", 8, "k2")).state();
        assertFalse(next.keys().containsKey(hash("k1")));
        assertTrue(next.keys().containsKey(hash("k2")));
    }

    static Stream<Arguments> announcements() {
        return Stream.of(
                Arguments.of("the endpoint leaves", endpoint("e", "a:1", 5, true), "e", true),
                Arguments.of("the endpoint restarted", endpoint("e", "a:1", 6, false), "e", false),
                Arguments.of(
                        "delayed announcement of an earlier incarnation",
                        endpoint("e", "a:1", 4, false),
                        "e",
                        true),
                Arguments.of(
                        "delayed announcement after leaving",
                        endpoint("e", "a:1", 5, false),
                        "e",
                        true),
                Arguments.of(
                        "later endpoint at the same address",
                        endpoint("f", "a:1", 6, false),
                        "f",
                        false),
                Arguments.of(
                        "delayed announcement of an earlier endpoint at the address",
                        endpoint("f", "a:1", 4, false),
                        "e",
                        true));
    }

    /** Endpoint e at a:1 has announced in incarnation 5 that it leaves. */
    @ParameterizedTest(name = "{0}")
    @MethodSource("announcements")
    void keepsTheLatestIncarnation(
            String description, EndpointRecord announced, String expectedId, boolean leaving) {
        ControlState state = ControlState.EMPTY;
        state = apply(state, 1, register(endpoint("e", "a:1", 5, false))).state();
        state = apply(state, 2, register(endpoint("e", "a:1", 5, true))).state();
        state = apply(state, 3, register(announced)).state();
        assertEquals(1, state.endpoints().size(), description);
        EndpointRecord record = state.endpoints().get(EndpointId.of(expectedId));
        assertEquals(leaving, record.leaving(), description);
    }

    private static ControlStateMachine.Applied apply(
            ControlState state, long version, ControlCommand command) {
        return ControlStateMachine.apply(state, version, command);
    }

    private static ControlCommand register(EndpointRecord endpoint) {
        return new ControlCommand.RegisterEndpoint(endpoint);
    }

    private static EndpointRecord endpoint(
            String id, String address, long incarnation, boolean leaving) {
        return new EndpointRecord(
                EndpointId.of(id),
                "db",
                DataCentreId.of("marka"),
                address,
                "",
                List.of(new DatabaseRecord(Service.SINGLE_DATABASE, 2, 16)),
                leaving,
                incarnation);
    }

    private static ControlCommand.ReplaceConfiguration replace(
            String id, long version, String key) {
        return new ControlCommand.ReplaceConfiguration(
                id,
                new Configuration(
                        version,
                        List.of(),
                        List.of(
                                new Workspace(
                                        WORKSPACE,
                                        new RateLimit(10, 10),
                                        java.util.Set.of(),
                                        Map.of())),
                        List.of(),
                        List.of(),
                        Map.of(),
                        List.of(new KeyRecord(hash(key), hash(key), WORKSPACE))));
    }

    private static String hash(String key) {
        return (key + "0".repeat(64)).substring(0, 64);
    }
}
