package org.crocusturn.core.endpoints;

import java.util.Objects;
import java.util.Optional;
import org.crocusturn.core.ErrorCode;
import org.crocusturn.core.Failure;
import org.crocusturn.core.Verdict;

/** How a leaseholder handles a statement that ended with an error or without an answer. */
public sealed interface RetryDecision {
    /** Retry on any copy: the statement did not run, or repeating it has no effect. */
    record RetryOnAnyCopy() implements RetryDecision {}

    /** Retry on the same connection, whose transaction is still open. */
    record RetryOnSameConnection() implements RetryDecision {}

    /**
     * Report a failure to the caller.
     *
     * @param failure failure to report
     * @param transactionFailed whether the caller's transaction is marked as failed
     */
    record Fail(Failure failure, boolean transactionFailed) implements RetryDecision {
        /** Rejects a null failure. */
        public Fail {
            Objects.requireNonNull(failure, "failure");
        }
    }

    /** Class of a statement by the effect of running it twice. */
    enum RetryClass {
        /** A read outside of transactions. */
        READ,
        /** A write outside of transactions, which commits immediately. */
        WRITE,
        /** A statement within a transaction other than its commit. */
        IN_TRANSACTION,
        /** The commit of a transaction with writes. */
        COMMIT,
        /** The commit of a read-only transaction. */
        READ_ONLY_COMMIT
    }

    /**
     * Decides how to handle a statement that was sent.
     *
     * @param retryClass class of the statement
     * @param error error of the endpoint; empty if no complete answer arrived
     * @param state transaction state of the connection after the error
     */
    static RetryDecision decide(
            RetryClass retryClass, Optional<EndpointError> error, SessionResult.State state) {
        if (error.filter(e -> e == EndpointError.ANSWER_TOO_LARGE).isPresent()) {
            // Another attempt would get as many rows, on another host as well.
            return new Fail(answerTooLarge(), state != SessionResult.State.IDLE);
        }
        Verdict verdict = error.map(EndpointError::verdict).orElse(Verdict.MAY_HAVE_RUN);
        return switch (retryClass) {
            case READ -> new RetryOnAnyCopy();
            case WRITE -> verdict == Verdict.NOT_RUN ? new RetryOnAnyCopy() : afterWrite(error);
            case IN_TRANSACTION -> inTransaction(error, state);
            case COMMIT ->
                    canRetryOnConnection(error, state)
                            ? new RetryOnSameConnection()
                            : verdict == Verdict.NOT_RUN
                                    ? new Fail(transactionLost(), false)
                                    : new Fail(
                                            Failure.mayHaveRun(
                                                    "the outcome of the commit is unknown"),
                                            false);
            case READ_ONLY_COMMIT ->
                    canRetryOnConnection(error, state)
                            ? new RetryOnSameConnection()
                            : new Fail(transactionLost(), false);
        };
    }

    private static RetryDecision afterWrite(Optional<EndpointError> error) {
        if (error.filter(e -> e == EndpointError.FAILED).isPresent()) {
            return new Fail(statementFailed(), false);
        }
        return new Fail(Failure.mayHaveRun("the outcome of the write is unknown"), false);
    }

    private static RetryDecision inTransaction(
            Optional<EndpointError> error, SessionResult.State state) {
        if (canRetryOnConnection(error, state)) {
            return new RetryOnSameConnection();
        }
        return error.filter(e -> e.verdict() == Verdict.RAN).isPresent()
                ? new Fail(statementFailed(), true)
                : new Fail(transactionLost(), true);
    }

    private static boolean canRetryOnConnection(
            Optional<EndpointError> error, SessionResult.State state) {
        return state == SessionResult.State.TRANSACTION
                && error.filter(
                                e ->
                                        e == EndpointError.OVERLOADED
                                                || e == EndpointError.STATEMENT_UNKNOWN)
                        .isPresent();
    }

    private static Failure statementFailed() {
        return new Failure(
                ErrorCode.DATABASE_REFUSED,
                Verdict.RAN,
                "the statement failed in the database",
                Optional.empty());
    }

    private static Failure answerTooLarge() {
        return new Failure(
                ErrorCode.TOO_LARGE,
                Verdict.RAN,
                "the statement has run; its rows take more memory than an answer may",
                Optional.empty());
    }

    private static Failure transactionLost() {
        return Failure.notRun(ErrorCode.TRANSACTION_LOST, "the transaction was rolled back");
    }
}
