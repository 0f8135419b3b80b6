package org.crocusturn.core.callers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Optional;
import java.util.stream.Stream;
import org.crocusturn.core.ErrorCode;
import org.crocusturn.core.Failure;
import org.crocusturn.core.LogPosition;
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.operators.Consistency;
import org.crocusturn.core.operators.Route;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against statements that run in the wrong transaction or with a withdrawn key. */
class SessionDecisionsTest {
    private static final Route ROUTE =
            new Route(
                    "r",
                    "visits",
                    "taftish-db",
                    Consistency.PRIMARY,
                    Duration.ZERO,
                    Duration.ofMillis(800),
                    Duration.ofMillis(120),
                    1,
                    false);
    private static final RouteCheck ALLOWED =
            new RouteCheck(
                    Optional.of(ROUTE), Optional.of(WorkspaceId.of("schools")), Optional.empty());
    private static final RouteCheck WITHDRAWN =
            new RouteCheck(
                    Optional.empty(),
                    Optional.empty(),
                    Optional.of(Failure.notRun(ErrorCode.KEY_REFUSED, "withdrawn")));

    static Stream<Arguments> forwards() {
        return Stream.of(
                Arguments.of(SessionState.NEW, StatementKind.READ, TransactionStep.NONE),
                Arguments.of(SessionState.NEW, StatementKind.WRITE, TransactionStep.NONE),
                Arguments.of(open(false), StatementKind.READ, TransactionStep.BEGIN),
                Arguments.of(open(true), StatementKind.READ, TransactionStep.BEGIN_READ_ONLY),
                Arguments.of(open(false), StatementKind.COMMIT, TransactionStep.BEGIN),
                Arguments.of(
                        open(false).withStartedTransaction(),
                        StatementKind.WRITE,
                        TransactionStep.CONTINUE),
                Arguments.of(
                        open(true).withStartedTransaction(),
                        StatementKind.COMMIT,
                        TransactionStep.CONTINUE));
    }

    @ParameterizedTest
    @MethodSource("forwards")
    void forwards(SessionState state, StatementKind kind, TransactionStep step) {
        SessionStep.Forward forward =
                assertInstanceOf(
                        SessionStep.Forward.class,
                        SessionDecisions.decide(state, statement(kind), ALLOWED));
        assertEquals(step, forward.step());
    }

    @ParameterizedTest
    @EnumSource(
            value = StatementKind.class,
            names = {"READ", "WRITE", "BEGIN", "BEGIN_READ_ONLY"})
    void refusesNewWorkWithAWithdrawnKey(StatementKind kind) {
        SessionStep.Answer answer = answer(SessionState.NEW, statement(kind), WITHDRAWN);
        assertEquals(ErrorCode.KEY_REFUSED, answer.outcome().failure().orElseThrow().code());
        assertEquals(SessionState.Phase.IDLE, answer.state().phase());
    }

    /**
     * Guards against a change of keys or routes that interrupts an open transaction; it applies
     * from the next transaction on.
     */
    @Test
    void finishesAnOpenTransactionOnItsRoute() {
        assertInstanceOf(
                SessionStep.Forward.class,
                SessionDecisions.decide(
                        open(false).withStartedTransaction(),
                        statement(StatementKind.WRITE),
                        WITHDRAWN));
    }

    @ParameterizedTest
    @EnumSource(StatementKind.class)
    void allowsOnlyTheEndOfAFailedTransaction(StatementKind kind) {
        SessionStep.Answer answer =
                answer(
                        open(false).withStartedTransaction().withFailedTransaction(),
                        statement(kind),
                        ALLOWED);
        boolean ends = kind.endsTransaction();
        assertEquals(
                ends ? SessionState.Phase.IDLE : SessionState.Phase.FAILED, answer.state().phase());
        assertEquals(ends, answer.endsTransaction());
        assertEquals(kind == StatementKind.ROLLBACK, answer.outcome().failure().isEmpty());
    }

    @Test
    void remembersValuesAndPreparedStatements() {
        SessionState state = SessionState.NEW;
        state = answer(state, named(StatementKind.SET_VALUE, "zone", "a"), ALLOWED).state();
        state = answer(state, named(StatementKind.PREPARE_WRITE, "s1", "q2"), ALLOWED).state();
        assertEquals("a", state.context().values().get("zone"));
        assertEquals(new PreparedShape(true, "q2"), state.context().prepared().get("s1"));
        state = answer(state, named(StatementKind.DEALLOCATE, "s1", ""), ALLOWED).state();
        SessionStep.Answer unknown =
                answer(state, named(StatementKind.EXECUTE, "s1", "x"), ALLOWED);
        assertEquals(ErrorCode.SESSION_INVALID, unknown.outcome().failure().orElseThrow().code());
    }

    @Test
    void boundsTheContextOfASession() {
        SessionState state = SessionState.NEW;
        for (int i = 0; i <= SessionDecisions.MAX_CONTEXT_ENTRIES; i++) {
            state = answer(state, named(StatementKind.SET_VALUE, "v" + i, "x"), ALLOWED).state();
        }
        assertEquals(SessionDecisions.MAX_CONTEXT_ENTRIES, state.context().size());
    }

    @Test
    void keepsThePositionOfItsLatestCommit() {
        SessionState after =
                SessionDecisions.applyOutcome(
                        open(false).withStartedTransaction(),
                        statement(StatementKind.COMMIT),
                        SessionOutcome.committed(java.util.List.of(), "s", LogPosition.of(2, 9)));
        assertEquals(SessionState.Phase.IDLE, after.phase());
        assertEquals(LogPosition.of(2, 9), after.lastCommit());
        assertTrue(after.route().isEmpty());
    }

    private static SessionStep.Answer answer(
            SessionState state, SessionStatement statement, RouteCheck check) {
        return assertInstanceOf(
                SessionStep.Answer.class, SessionDecisions.decide(state, statement, check));
    }

    private static SessionState open(boolean readOnly) {
        return SessionState.NEW.withOpenTransaction(ROUTE, readOnly);
    }

    private static SessionStatement statement(StatementKind kind) {
        return named(kind, "", "");
    }

    private static SessionStatement named(StatementKind kind, String name, String argument) {
        return new SessionStatement("id", kind, name, argument, kind.name());
    }
}
