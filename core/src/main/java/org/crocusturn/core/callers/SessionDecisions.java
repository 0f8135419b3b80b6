package org.crocusturn.core.callers;

import java.util.Optional;
import org.crocusturn.core.ErrorCode;
import org.crocusturn.core.Failure;
import org.crocusturn.core.Names;
import org.crocusturn.core.Verdict;

/**
 * Decides how an entry host processes the statements of a session. All methods are pure functions.
 *
 * <p>A begin is answered immediately. The transaction is started on a database by its first
 * statement, so that a connection is not held before there is a statement to run.
 */
public final class SessionDecisions {
    /** Maximum number of values and prepared statements of one session, which bounds its memory. */
    static final int MAX_CONTEXT_ENTRIES = 1_000;

    /** Failure of a transaction whose key was withdrawn and is in force again. */
    private static final Failure ENDED =
            Failure.notRun(
                    ErrorCode.TRANSACTION_LOST,
                    "the transaction was ended when its key was withdrawn");

    private SessionDecisions() {}

    /**
     * Returns how to process a statement.
     *
     * @param state session before the statement
     * @param statement the statement
     * @param route check of the route that is in force for the session
     */
    public static SessionStep decide(
            SessionState state, SessionStatement statement, RouteCheck route) {
        return switch (state.phase()) {
            case IDLE -> decideWithoutTransaction(state, statement, route);
            case FAILED -> decideInFailedTransaction(state, statement);
            default -> decideInTransaction(state, statement, route);
        };
    }

    /** Returns the session after a forwarded statement has ended. */
    public static SessionState applyOutcome(
            SessionState state, SessionStatement statement, SessionOutcome outcome) {
        SessionState updated = outcome.committed().map(state::withCommit).orElse(state);
        if (state.phase() == SessionState.Phase.IDLE) {
            return updated;
        }
        if (statement.kind() == StatementKind.COMMIT) {
            return outcome.transactionFailed()
                    ? updated.withFailedTransaction()
                    : updated.withoutTransaction();
        }
        if (outcome.transactionFailed()) {
            return updated.withFailedTransaction();
        }
        return updated.withStartedTransaction();
    }

    /**
     * Returns the outcome that the caller gets. If the leaseholder has refused a statement because
     * this host has ended the transaction, the caller gets the reason of this host.
     *
     * @param state session before the outcome
     * @param outcome outcome at the leaseholder
     * @param route check of the route that is in force for the session
     */
    public static SessionOutcome reported(
            SessionState state, SessionOutcome outcome, RouteCheck route) {
        boolean refused =
                outcome.failure()
                        .filter(f -> f.code() == ErrorCode.TRANSACTION_LOST)
                        .filter(f -> f.verdict() == Verdict.NOT_RUN)
                        .isPresent();
        return refusal(route)
                .filter(reason -> refused && state.transactionEnded())
                .map(reason -> SessionOutcome.failed(reason, outcome.transactionFailed()))
                .orElse(outcome);
    }

    /** Returns why the transaction of a session must not go on, if it must not. */
    private static Optional<Failure> refusal(RouteCheck route) {
        return route.failure().filter(failure -> route.endsTransaction());
    }

    private static SessionStep decideWithoutTransaction(
            SessionState state, SessionStatement statement, RouteCheck route) {
        if (statement.kind().isLocal()) {
            return applyLocally(state, statement);
        }
        if (statement.kind() == StatementKind.UNKNOWN) {
            return refuse(state, malformed("the statement or its id is not valid"));
        }
        if (statement.kind().endsTransaction()) {
            return refuse(state, malformed("no transaction is open"));
        }
        Optional<Failure> notPrepared = preparedStatementFailure(state, statement);
        if (route.failure().isPresent() || notPrepared.isPresent()) {
            return refuse(state, route.failure().or(() -> notPrepared).orElseThrow());
        }
        RouteAccess allowed = route.access().orElseThrow();
        return switch (statement.kind()) {
            case BEGIN -> answer(state.withOpenTransaction(allowed, false));
            case BEGIN_READ_ONLY -> answer(state.withOpenTransaction(allowed, true));
            default -> new SessionStep.Forward(allowed, TransactionStep.NONE);
        };
    }

    private static SessionStep decideInTransaction(
            SessionState state, SessionStatement statement, RouteCheck route) {
        if (statement.kind().isLocal()) {
            return applyLocally(state, statement);
        }
        boolean begins =
                statement.kind() == StatementKind.BEGIN
                        || statement.kind() == StatementKind.BEGIN_READ_ONLY;
        if (begins) {
            return failTransaction(state, malformed("a transaction is already open"));
        }
        if (statement.kind() == StatementKind.UNKNOWN) {
            return failTransaction(state, malformed("the statement or its id is not valid"));
        }
        if (statement.kind() == StatementKind.ROLLBACK) {
            return new SessionStep.Answer(
                    state.withoutTransaction(), SessionOutcome.DONE, state.transactionStarted());
        }
        Optional<Failure> reason =
                refusal(route)
                        .or(() -> Optional.of(ENDED).filter(ended -> state.transactionEnded()));
        if (reason.isPresent()) {
            return endTransaction(state, statement, reason.get());
        }
        Optional<Failure> notPrepared = preparedStatementFailure(state, statement);
        if (notPrepared.isPresent()) {
            return failTransaction(state, notPrepared.get());
        }
        TransactionStep firstStep =
                state.phase() == SessionState.Phase.OPEN
                        ? TransactionStep.BEGIN
                        : TransactionStep.BEGIN_READ_ONLY;
        return new SessionStep.Forward(
                state.access().orElseThrow(),
                state.transactionStarted() ? TransactionStep.CONTINUE : firstStep);
    }

    private static SessionStep decideInFailedTransaction(
            SessionState state, SessionStatement statement) {
        if (statement.kind() == StatementKind.ROLLBACK) {
            return new SessionStep.Answer(
                    state.withoutTransaction(), SessionOutcome.DONE, state.transactionStarted());
        }
        if (statement.kind() == StatementKind.COMMIT) {
            Failure lost =
                    Failure.notRun(
                            ErrorCode.TRANSACTION_LOST, "the transaction failed before the commit");
            return new SessionStep.Answer(
                    state.withoutTransaction(),
                    SessionOutcome.failed(lost, false),
                    state.transactionStarted());
        }
        return refuse(state, malformed("the transaction has failed and must be ended"));
    }

    private static SessionStep applyLocally(SessionState state, SessionStatement statement) {
        boolean addsEntry = statement.kind() != StatementKind.DEALLOCATE;
        if (addsEntry && state.context().size() >= MAX_CONTEXT_ENTRIES) {
            return refuse(
                    state,
                    Failure.notRun(
                            ErrorCode.TOO_LARGE,
                            "a session can have at most "
                                    + MAX_CONTEXT_ENTRIES
                                    + " values and prepared statements"));
        }
        return answer(state.withContext(state.context().with(statement)));
    }

    private static Optional<Failure> preparedStatementFailure(
            SessionState state, SessionStatement statement) {
        boolean valid =
                statement.kind() != StatementKind.EXECUTE
                        || state.context().prepared().containsKey(statement.name());
        return valid
                ? Optional.empty()
                : Optional.of(
                        Failure.notRun(
                                ErrorCode.SESSION_INVALID,
                                "statement " + Names.quote(statement.name()) + " is not prepared"));
    }

    private static SessionStep answer(SessionState state) {
        return new SessionStep.Answer(state, SessionOutcome.DONE, false);
    }

    private static SessionStep refuse(SessionState state, Failure failure) {
        boolean failed = state.phase() == SessionState.Phase.FAILED;
        return new SessionStep.Answer(state, SessionOutcome.failed(failure, failed), false);
    }

    /** Refuses a statement of a transaction that must not go on, and rolls it back. */
    private static SessionStep endTransaction(
            SessionState state, SessionStatement statement, Failure reason) {
        boolean commits = statement.kind() == StatementKind.COMMIT;
        return new SessionStep.Answer(
                commits ? state.withoutTransaction() : state.withFailedTransaction(),
                SessionOutcome.failed(reason, !commits),
                state.transactionStarted());
    }

    private static SessionStep failTransaction(SessionState state, Failure failure) {
        return new SessionStep.Answer(
                state.withFailedTransaction(), SessionOutcome.failed(failure, true), false);
    }

    private static Failure malformed(String message) {
        return Failure.notRun(ErrorCode.MALFORMED_REQUEST, message);
    }
}
