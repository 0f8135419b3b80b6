package org.crocusturn.core.endpoints;

import java.util.Objects;
import java.util.Optional;
import org.crocusturn.core.ErrorCode;
import org.crocusturn.core.Failure;
import org.crocusturn.core.Verdict;

/** How a leaseholder handles a statement that ended with an error or without an answer. */
public sealed interface StatementReaction {
    /** Retry on any copy: the statement did not run, or repeating it has no effect. */
    record RetryElsewhere() implements StatementReaction {}

    /** Retry on the same connection, whose transaction is still open. */
    record RetryHere() implements StatementReaction {}

    /**
     * Report a failure to the caller.
     *
     * @param failure failure to report
     * @param transactionFailed whether the caller's transaction is marked as failed
     */
    record Fail(Failure failure, boolean transactionFailed) implements StatementReaction {
        /** Rejects a null failure. */
        public Fail {
            Objects.requireNonNull(failure, "failure");
        }
    }

    /** Class of a statement by the effect of running it twice. */
    enum Nature {
        /** A read outside of transactions. */
        READ,
        /** A write outside of transactions, which commits immediately. */
        WRITE,
        /** A statement within a transaction other than its commit. */
        IN_TRANSACTION,
        /** The commit of a transaction with writes. */
        COMMIT,
        /** The commit of a read-only transaction. */
        COMMIT_OF_READS
    }

    /**
     * Decides how to handle a statement that was sent.
     *
     * @param nature class of the statement
     * @param error error of the endpoint; empty if no complete answer arrived
     * @param state transaction state of the connection after the error
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
                                            Failure.mayHaveRun(
                                                    "the outcome of the commit is unknown"),
                                            false);
            case COMMIT_OF_READS ->
                    isRetriedHere(error, state) ? new RetryHere() : new Fail(lost(), false);
        };
    }

    private static StatementReaction afterWrite(Optional<EndpointError> error) {
        if (error.filter(e -> e == EndpointError.FAILED).isPresent()) {
            return new Fail(failed(), false);
        }
        return new Fail(Failure.mayHaveRun("the outcome of the write is unknown"), false);
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
