package org.crocusturn.core.callers;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.crocusturn.core.ErrorCode;
import org.crocusturn.core.Failure;
import org.crocusturn.core.LogPosition;
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.operators.Consistency;
import org.crocusturn.core.operators.Route;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against work that goes on, or an outcome that is lost, after a key was withdrawn. */
class KeyWithdrawalTest {
    private static final Failure REASON = Failure.notRun(ErrorCode.KEY_REFUSED, "withdrawn");
    private static final Failure LOST = Failure.notRun(ErrorCode.TRANSACTION_LOST, "not open");
    private static final RouteAccess ACCESS =
            new RouteAccess(
                    new Route(
                            "r",
                            "visits",
                            "taftish-db",
                            Consistency.PRIMARY,
                            Duration.ZERO,
                            Duration.ofMillis(800),
                            Duration.ofMillis(120),
                            1,
                            false),
                    WorkspaceId.of("schools"));
    private static final SessionState BEGUN = SessionState.NEW.withOpenTransaction(ACCESS, false);
    private static final SessionState READING = SessionState.NEW.withOpenTransaction(ACCESS, true);

    static Stream<Arguments> phases() {
        return Stream.of(
                // phase, state, statement at the leaseholder, told to it, transaction ended
                Arguments.of("idle", SessionState.NEW, false, false, false),
                Arguments.of("single statement", SessionState.NEW, true, true, false),
                Arguments.of("begun", BEGUN, false, false, false),
                Arguments.of("begun, read-only", READING, false, false, false),
                Arguments.of("first statement", BEGUN, true, true, true),
                Arguments.of("first statement, read-only", READING, true, true, true),
                Arguments.of("between", BEGUN.withStartedTransaction(), false, true, true),
                Arguments.of(
                        "between, read-only", READING.withStartedTransaction(), false, true, true),
                Arguments.of("later statement", BEGUN.withStartedTransaction(), true, true, true),
                Arguments.of(
                        "failed",
                        BEGUN.withStartedTransaction().withFailedTransaction(),
                        false,
                        true,
                        false));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("phases")
    void endsTheWorkOfASession(
            String phase, SessionState state, boolean sent, boolean told, boolean ended) {
        KeyWithdrawal.Effect effect = KeyWithdrawal.of(state, sent);
        assertEquals(told, effect.endsAtLeaseholder());
        assertEquals(ended ? state.withEndedTransaction() : state, effect.state());
        assertEquals(ended, effect.state().transactionEnded());
    }

    static Stream<Arguments> outcomes() {
        LogPosition position = LogPosition.of(1, 7);
        SessionOutcome rows = SessionOutcome.answered(List.of("row"), "signature");
        SessionOutcome committed = SessionOutcome.committed(List.of(), "signature", position);
        SessionOutcome uncertain = SessionOutcome.failed(Failure.mayHaveRun("lost"), false);
        SessionOutcome refused = SessionOutcome.failed(LOST, true);
        SessionOutcome refusedCommit = SessionOutcome.failed(LOST, false);
        return Stream.of(
                Arguments.of(StatementKind.READ, rows, rows, SessionState.Phase.OPEN),
                Arguments.of(
                        StatementKind.READ,
                        refused,
                        SessionOutcome.failed(REASON, true),
                        SessionState.Phase.FAILED),
                Arguments.of(StatementKind.COMMIT, committed, committed, SessionState.Phase.IDLE),
                Arguments.of(StatementKind.COMMIT, uncertain, uncertain, SessionState.Phase.IDLE),
                Arguments.of(
                        StatementKind.COMMIT,
                        refusedCommit,
                        SessionOutcome.failed(REASON, false),
                        SessionState.Phase.IDLE));
    }

    /** A statement that ran keeps its outcome; one that did not is refused for the key. */
    @ParameterizedTest
    @MethodSource("outcomes")
    void reportsTheOutcomeOfAStatementOnItsWay(
            StatementKind kind,
            SessionOutcome outcome,
            SessionOutcome expected,
            SessionState.Phase phase) {
        SessionState state = KeyWithdrawal.of(BEGUN.withStartedTransaction(), true).state();
        SessionOutcome reported =
                SessionDecisions.reported(state, outcome, RouteCheck.refused(REASON, true));
        assertEquals(expected, reported);
        RouteCheck inForceAgain = new RouteCheck(Optional.of(ACCESS), Optional.empty(), false);
        assertEquals(outcome, SessionDecisions.reported(state, outcome, inForceAgain));
        SessionState after =
                SessionDecisions.applyOutcome(
                        state, new SessionStatement("id", kind, "", "", kind.name()), reported);
        assertEquals(phase, after.phase());
        assertEquals(phase == SessionState.Phase.OPEN, after.transactionEnded());
        assertEquals(outcome.committed().orElse(LogPosition.ZERO), after.lastCommit());
    }
}
