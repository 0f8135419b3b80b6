package org.crocusturn.core.endpoints;

import java.util.Objects;
import java.util.Optional;
import org.crocusturn.core.ErrorCode;
import org.crocusturn.core.Failure;
import org.crocusturn.core.Verdict;

/** Is what a leaseholder does after a statement got an error or no answer. */
public sealed interface StatementReaction {
    /** Runs it again on any copy: it has not run, or running it twice changes nothing. */
    record RetryElsewhere() implements StatementReaction {}

    /** Runs it again on the same connection, whose transaction is still open. */
    record RetryHere() implements StatementReaction {}

    /**
     * Tells the caller.
     *
     * @param failure what the caller is told
     * @param transactionFailed whether the caller's transaction is left failed
     */
    record Fail(Failure failure, boolean transactionFailed) implements StatementReaction {
        /** Checks that the failure is not null. */
        public Fail {
            Objects.requireNonNull(failure, "failure");
        }
    }

    /** Classifies statements by what a repetition would do. */
    enum Nature {
        /** A read on its own. */
        READ,
        /** A write on its own; it commits itself. */
        WRITE,
        /** A statement inside a transaction that is not its end. */
        IN_TRANSACTION,
        /** The commit of a transaction that wrote. */
        COMMIT,
        /** The commit of a transaction that only read. */
        COMMIT_OF_READS
    }

    /**
     * Decides about a statement that was sent.
     *
     * @param nature what a repetition would do
     * @param error error of the endpoint; empty if no whole answer came
     * @param state transaction of the connection after the error
     */
    static StatementReaction to(
            Nature nature, Optional<EndpointError> error, SessionResult.State state) {
        Verdict verdict = error.map(EndpointError::verdict).orElse(Verdict.MAY_HAVE_RUN);
        return switch (nature) {
            case READ -> new RetryElsewhere();
            case WRITE -> verdict == Verdict.NOT_RUN ? new RetryElsewhere() : afterWrite(error);
            case IN_TRANSACTION -> inTransaction(error, state);
            case COMMIT ->
                    isRetriedHere(error, state)
                            ? new RetryHere()
                            : verdict == Verdict.NOT_RUN
                                    ? new Fail(lost(), false)
                                    : new Fail(
                                            Failure.mayHaveRun("the commit has no clear answer"),
                                            false);
            case COMMIT_OF_READS ->
                    isRetriedHere(error, state) ? new RetryHere() : new Fail(lost(), false);
        };
    }

    private static StatementReaction afterWrite(Optional<EndpointError> error) {
        if (error.filter(e -> e == EndpointError.FAILED).isPresent()) {
            return new Fail(failed(), false);
        }
        return new Fail(Failure.mayHaveRun("the write has no clear answer"), false);
    }

    private static StatementReaction inTransaction(
            Optional<EndpointError> error, SessionResult.State state) {
        if (isRetriedHere(error, state)) {
            return new RetryHere();
        }
        return error.filter(e -> e.verdict() == Verdict.RAN).isPresent()
                ? new Fail(failed(), true)
                : new Fail(lost(), true);
    }

    private static boolean isRetriedHere(Optional<EndpointError> error, SessionResult.State state) {
        return state == SessionResult.State.TRANSACTION
                && error.filter(
                                e ->
                                        e == EndpointError.OVERLOADED
                                                || e == EndpointError.STATEMENT_UNKNOWN)
                        .isPresent();
    }

    private static Failure failed() {
        return new Failure(
                ErrorCode.DATABASE_REFUSED,
                Verdict.RAN,
                "the statement failed in the database",
                Optional.empty());
    }

    private static Failure lost() {
        return Failure.notRun(ErrorCode.TRANSACTION_LOST, "the transaction was rolled back");
    }
}
