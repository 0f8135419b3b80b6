package org.crocusturn.standin.database;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Optional;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;
import org.crocusturn.core.callers.Role;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against two primaries in one term and against terms that decrease. */
class CopyStateTest {
    private static final String PRIMARY_ADDRESS = "127.0.0.1:1";
    private static final CopyState FENCED = CopyState.INITIAL.withFence(5);
    private static final CopyState PRIMARY = CopyState.INITIAL.withPromotion(5);
    private static final CopyState FOLLOWER = CopyState.INITIAL.withSource(5, PRIMARY_ADDRESS);

    /** A state transition; the type gives lambdas in {@link Arguments} a target type. */
    private interface Command extends UnaryOperator<CopyState> {}

    @ParameterizedTest
    @MethodSource("refusedTransitions")
    void refusesTransition(CopyState state, Command command, String code) {
        var refused = assertThrows(RefusedException.class, () -> command.apply(state));
        assertEquals(code, refused.code());
    }

    static Stream<Arguments> refusedTransitions() {
        Stream<Arguments> lower =
                Stream.of(FENCED, PRIMARY, FOLLOWER)
                        .flatMap(
                                state ->
                                        Stream.of(fence(4), promote(4), follow(4))
                                                .map(c -> Arguments.of(state, c, "old_term")));
        return Stream.concat(
                lower,
                Stream.of(
                        Arguments.of(PRIMARY, follow(5), "is_primary"),
                        Arguments.of(FOLLOWER, promote(5), "has_primary")));
    }

    @ParameterizedTest
    @MethodSource("acceptedTransitions")
    void acceptsTransition(
            CopyState state, Command command, Role role, long term, boolean follows) {
        CopyState next = command.apply(state);
        assertEquals(role, next.role());
        assertEquals(term, next.term());
        assertEquals(follows ? Optional.of(PRIMARY_ADDRESS) : Optional.empty(), next.source());
        assertEquals(role == Role.PRIMARY, next.confirmed());
    }

    static Stream<Arguments> acceptedTransitions() {
        return Stream.of(
                Arguments.of(PRIMARY, fence(5), Role.PRIMARY, 5, false),
                Arguments.of(PRIMARY, fence(6), Role.REPLICA, 6, false),
                Arguments.of(PRIMARY, promote(5), Role.PRIMARY, 5, false),
                Arguments.of(PRIMARY, follow(6), Role.REPLICA, 6, true),
                Arguments.of(FENCED, promote(5), Role.PRIMARY, 5, false),
                Arguments.of(FENCED, follow(5), Role.REPLICA, 5, true),
                Arguments.of(FOLLOWER, fence(5), Role.REPLICA, 5, true),
                Arguments.of(FOLLOWER, fence(6), Role.REPLICA, 6, false),
                Arguments.of(FOLLOWER.withConfirmation(), follow(6), Role.REPLICA, 6, true),
                Arguments.of(FOLLOWER, promote(6), Role.PRIMARY, 6, false));
    }

    private static Command fence(long term) {
        return state -> state.withFence(term);
    }

    private static Command promote(long term) {
        return state -> state.withPromotion(term);
    }

    private static Command follow(long term) {
        return state -> state.withSource(term, PRIMARY_ADDRESS);
    }
}
