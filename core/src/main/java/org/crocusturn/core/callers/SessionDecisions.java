package org.crocusturn.core.callers;

import java.util.Optional;
import org.crocusturn.core.ErrorCode;
import org.crocusturn.core.Failure;
import org.crocusturn.core.operators.Route;

/**
 * Decides how an entry host processes the statements of a session. All methods are pure functions.
 *
 * <p>A begin is answered immediately. The transaction is started on a database by its first
 * statement, so that a connection is not held before there is a statement to run.
 */
public final class SessionDecisions {
    /** Maximum number of values and prepared statements of one session, which bounds its memory. */
    static final int MAX_CONTEXT = 1_000;

    private SessionDecisions() {}

    /**
     * Returns how to process a statement.
     *
     * @param state session before the statement
     * @param statement the statement
     * @param route check of the route that is in force for the session
     */
    public static SessionStep next(
            SessionState state, SessionStatement statement, RouteCheck route) {
        return switch (state.phase()) {
            case IDLE -> idle(state, statement, route);
            case FAILED -> failed(state, statement);
            default -> open(state, statement);
        };
    }

    /** Returns the session after a forwarded statement has ended. */
    public static SessionState after(
            SessionState state, SessionStatement statement, SessionOutcome outcome) {
        SessionState known = outcome.committed().map(state::withCommit).orElse(state);
        if (state.phase() == SessionState.Phase.IDLE) {
            return known;
        }
        if (statement.kind() == StatementKind.COMMIT) {
            return outcome.transactionFailed() ? known.withFailed() : known.withIdle();
        }
        return outcome.transactionFailed() ? known.withFailed() : known.withBegun();
    }

    private static SessionStep idle(
            SessionState state, SessionStatement statement, RouteCheck route) {
        if (statement.kind().isLocal()) {
            return local(state, statement);
        }
        if (statement.kind() == StatementKind.UNKNOWN) {
            return refuse(state, malformed("the statement cannot be parsed"));
        }
        if (statement.kind().endsTransaction()) {
            return refuse(state, malformed("no transaction is open"));
        }
        Optional<Failure> unknown = unknownName(state, statement);
        if (route.failure().isPresent() || unknown.isPresent()) {
            return refuse(state, route.failure().or(() -> unknown).orElseThrow());
        }
        Route allowed = route.route().orElseThrow();
        return switch (statement.kind()) {
            case BEGIN -> answer(state.withTransaction(allowed, false));
            case BEGIN_READ_ONLY -> answer(state.withTransaction(allowed, true));
            default -> new SessionStep.Forward(allowed, TransactionStep.NONE);
        };
    }

    private static SessionStep open(SessionState state, SessionStatement statement) {
        if (statement.kind().isLocal()) {
            return local(state, statement);
        }
        boolean begins =
                statement.kind() == StatementKind.BEGIN
                        || statement.kind() == StatementKind.BEGIN_READ_ONLY;
        if (begins) {
            return refuseAndFail(state, malformed("a transaction is already open"));
        }
        if (statement.kind() == StatementKind.UNKNOWN) {
            return refuseAndFail(state, malformed("the statement cannot be parsed"));
        }
        if (statement.kind() == StatementKind.ROLLBACK) {
            return new SessionStep.Answer(state.withIdle(), SessionOutcome.DONE, state.begun());
        }
        Optional<Failure> unknown = unknownName(state, statement);
        if (unknown.isPresent()) {
            return refuseAndFail(state, unknown.get());
        }
        TransactionStep first =
                state.phase() == SessionState.Phase.OPEN
                        ? TransactionStep.BEGIN
                        : TransactionStep.BEGIN_READ_ONLY;
        return new SessionStep.Forward(
                state.route().orElseThrow(), state.begun() ? TransactionStep.CONTINUE : first);
    }

    private static SessionStep failed(SessionState state, SessionStatement statement) {
        if (statement.kind() == StatementKind.ROLLBACK) {
            return new SessionStep.Answer(state.withIdle(), SessionOutcome.DONE, state.begun());
        }
        if (statement.kind() == StatementKind.COMMIT) {
            Failure lost =
                    Failure.notRun(
                            ErrorCode.TRANSACTION_LOST, "the transaction failed before the commit");
            return new SessionStep.Answer(
                    state.withIdle(), SessionOutcome.failed(lost, false), state.begun());
        }
        return refuse(state, malformed("the transaction has failed and must be ended"));
    }

    private static SessionStep local(SessionState state, SessionStatement statement) {
        boolean grows = statement.kind() != StatementKind.DEALLOCATE;
        if (grows && state.context().size() >= MAX_CONTEXT) {
            return refuse(
                    state,
                    Failure.notRun(
                            ErrorCode.TOO_LARGE,
                            "a session can have at most "
                                    + MAX_CONTEXT
                                    + " values and prepared statements"));
        }
        return answer(state.withContext(state.context().with(statement)));
    }

    private static Optional<Failure> unknownName(SessionState state, SessionStatement statement) {
        boolean known =
                statement.kind() != StatementKind.EXECUTE
                        || state.context().prepared().containsKey(statement.name());
        return known
                ? Optional.empty()
                : Optional.of(
                        Failure.notRun(
                                ErrorCode.SESSION_INVALID,
                                "statement " + statement.name() + " is not prepared"));
    }

    private static SessionStep answer(SessionState state) {
        return new SessionStep.Answer(state, SessionOutcome.DONE, false);
    }

    private static SessionStep refuse(SessionState state, Failure failure) {
        boolean failed = state.phase() == SessionState.Phase.FAILED;
        return new SessionStep.Answer(state, SessionOutcome.failed(failure, failed), false);
    }

    private static SessionStep refuseAndFail(SessionState state, Failure failure) {
        return new SessionStep.Answer(
                state.withFailed(), SessionOutcome.failed(failure, true), false);
    }

    private static Failure malformed(String message) {
        return Failure.notRun(ErrorCode.MALFORMED_REQUEST, message);
    }
}
