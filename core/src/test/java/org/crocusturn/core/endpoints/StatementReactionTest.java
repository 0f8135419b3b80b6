package org.crocusturn.core.endpoints;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.util.Arrays;
import java.util.Optional;
import java.util.stream.Stream;
import org.crocusturn.core.Verdict;
import org.crocusturn.core.endpoints.StatementReaction.Nature;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against writes that run twice and against false "not run" verdicts. */
class StatementReactionTest {
    static Stream<Arguments> all() {
        return Arrays.stream(Nature.values())
                .flatMap(
                        nature ->
                                Stream.concat(
                                                Stream.of(Optional.<EndpointError>empty()),
                                                Arrays.stream(EndpointError.values())
                                                        .map(Optional::of))
                                        .flatMap(
                                                error ->
                                                        Arrays.stream(SessionResult.State.values())
                                                                .map(
                                                                        state ->
                                                                                Arguments.of(
                                                                                        nature,
                                                                                        error,
                                                                                        state))));
    }

    @ParameterizedTest
    @MethodSource("all")
    void neverRepeatsWhatMayHaveCommitted(
            Nature nature, Optional<EndpointError> error, SessionResult.State state) {
        boolean notRun = error.filter(e -> e.verdict() == Verdict.NOT_RUN).isPresent();
        StatementReaction reaction = StatementReaction.to(nature, error, state);
        if ((nature == Nature.WRITE || nature == Nature.COMMIT) && !notRun) {
            StatementReaction.Fail fail = assertInstanceOf(StatementReaction.Fail.class, reaction);
            assertFalse(
                    fail.failure().verdict() == Verdict.NOT_RUN,
                    "a write that may have committed is reported as not run");
        }
        if (nature == Nature.READ) {
            assertInstanceOf(StatementReaction.RetryElsewhere.class, reaction);
        }
        if (reaction instanceof StatementReaction.RetryHere) {
            assertEquals(SessionResult.State.TRANSACTION, state);
        }
        boolean inTransaction = nature != Nature.READ && nature != Nature.WRITE;
        if (inTransaction) {
            assertFalse(reaction instanceof StatementReaction.RetryElsewhere);
        }
    }
}
