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
import org.junit.jupiter.params.provider.ValueSource;

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
    private static final int MAX_MESSAGE_CHARACTERS = 200;
    private static final RouteAccess ACCESS = new RouteAccess(ROUTE, WorkspaceId.of("schools"));
    private static final RouteCheck ALLOWED =
            new RouteCheck(Optional.of(ACCESS), Optional.empty(), false);
    private static final RouteCheck WITHDRAWN = rejected(ErrorCode.KEY_REFUSED, true);
    private static final RouteCheck ROUTE_REMOVED = rejected(ErrorCode.NOT_FOUND, false);

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
        assertEquals(ACCESS, forward.access());
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

    static Stream<Arguments> changesDuringTransactions() {
        SessionState begun = open(false).withStartedTransaction();
        return Stream.of(
                Arguments.of(begun, ROUTE_REMOVED, TransactionStep.CONTINUE),
                Arguments.of(open(false), ROUTE_REMOVED, TransactionStep.BEGIN),
                Arguments.of(open(true), ROUTE_REMOVED, TransactionStep.BEGIN_READ_ONLY));
    }

    /**
     * Guards against a change of routes that interrupts an open transaction; it applies from the
     * next transaction on, and the workspace stays the same until then.
     */
    @ParameterizedTest
    @MethodSource("changesDuringTransactions")
    void finishesAnOpenTransactionOnItsRoute(
            SessionState state, RouteCheck check, TransactionStep step) {
        assertEquals(
                new SessionStep.Forward(ACCESS, step),
                SessionDecisions.decide(state, statement(StatementKind.WRITE), check));
    }

    static Stream<Arguments> transactionsToEnd() {
        return Stream.of(false, true)
                .flatMap(
                        readOnly ->
                                Stream.of(
                                        Arguments.of(
                                                open(readOnly),
                                                WITHDRAWN,
                                                false,
                                                ErrorCode.KEY_REFUSED),
                                        Arguments.of(
                                                open(readOnly).withStartedTransaction(),
                                                WITHDRAWN,
                                                true,
                                                ErrorCode.KEY_REFUSED),
                                        Arguments.of(
                                                open(readOnly).withEndedTransaction(),
                                                WITHDRAWN,
                                                false,
                                                ErrorCode.KEY_REFUSED),
                                        // The key is in force again.
                                        Arguments.of(
                                                open(readOnly).withEndedTransaction(),
                                                ALLOWED,
                                                false,
                                                ErrorCode.TRANSACTION_LOST)))
                .flatMap(
                        row ->
                                Stream.of(
                                                StatementKind.READ,
                                                StatementKind.WRITE,
                                                StatementKind.EXECUTE,
                                                StatementKind.COMMIT,
                                                StatementKind.ROLLBACK)
                                        .map(
                                                kind ->
                                                        Arguments.of(
                                                                row.get()[0],
                                                                row.get()[1],
                                                                row.get()[2],
                                                                row.get()[3],
                                                                kind)));
    }

    /** Guards against a transaction that a withdrawn key begins or continues on an endpoint. */
    @ParameterizedTest
    @MethodSource("transactionsToEnd")
    void endsTheTransactionOfAWithdrawnKey(
            SessionState state,
            RouteCheck check,
            boolean atLeaseholder,
            ErrorCode code,
            StatementKind kind) {
        SessionStep.Answer answer = answer(state, statement(kind), check);
        boolean ends = kind.endsTransaction();
        assertEquals(
                kind == StatementKind.ROLLBACK ? Optional.empty() : Optional.of(code),
                answer.outcome().failure().map(Failure::code));
        assertEquals(
                ends ? SessionState.Phase.IDLE : SessionState.Phase.FAILED, answer.state().phase());
        assertEquals(!ends, answer.outcome().transactionFailed());
        assertEquals(atLeaseholder, answer.endsTransaction());
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

    /** Guards against an answer, or a log line, that is as long as the name that it quotes. */
    @ParameterizedTest
    @ValueSource(ints = {1, 100, 101, 1 << 20})
    void shortensTheNameOfAnUnknownStatement(int length) {
        SessionStatement statement =
                new SessionStatement("5c", StatementKind.EXECUTE, "x".repeat(length), "k", "EXEC");
        SessionStep.Answer answer = answer(SessionState.NEW, statement, ALLOWED);
        Failure failure = answer.outcome().failure().orElseThrow();
        assertEquals(ErrorCode.SESSION_INVALID, failure.code());
        assertTrue(failure.message().length() <= MAX_MESSAGE_CHARACTERS);
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
        assertTrue(after.access().isEmpty());
    }

    private static SessionStep.Answer answer(
            SessionState state, SessionStatement statement, RouteCheck check) {
        return assertInstanceOf(
                SessionStep.Answer.class, SessionDecisions.decide(state, statement, check));
    }

    private static RouteCheck rejected(ErrorCode code, boolean endsTransaction) {
        return RouteCheck.refused(Failure.notRun(code, "rejected"), endsTransaction);
    }

    private static SessionState open(boolean readOnly) {
        return SessionState.NEW.withOpenTransaction(ACCESS, readOnly);
    }

    private static SessionStatement statement(StatementKind kind) {
        return named(kind, "", "");
    }

    private static SessionStatement named(StatementKind kind, String name, String argument) {
        return new SessionStatement("id", kind, name, argument, kind.name());
    }
}
