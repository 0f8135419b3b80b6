package org.crocusturn.daemon.endpoints;

import java.time.Duration;
import java.util.Optional;
import org.crocusturn.core.Failure;
import org.crocusturn.core.callers.TransactionStep;
import org.crocusturn.core.endpoints.ConnectionLoss;
import org.crocusturn.core.endpoints.EndpointError;
import org.crocusturn.core.endpoints.RetryDecision;
import org.crocusturn.core.endpoints.SessionResult;

/**
 * Repeats or ends the runs whose connection was lost, or whose answers on it cannot be told from
 * those to earlier commands.
 *
 * <p>Not thread-safe: used only by the thread of the group.
 */
final class ConnectionFailures {
    /**
     * Time for which a statement may still get its own answer after an error that equals an earlier
     * one. A statement that runs for longer is in doubt, which is safe.
     */
    private static final long CERTAIN_ANSWER_TIMEOUT_NANOS = Duration.ofMillis(100).toNanos();

    /** Time limit of a rollback; it needs no slot, so its answer takes a round trip. */
    private static final long ROLLBACK_TIMEOUT_NANOS = Duration.ofSeconds(1).toNanos();

    private final LeasedGroup mGroup;
    private final GroupContext mContext;

    ConnectionFailures(LeasedGroup group, GroupContext context) {
        mGroup = group;
        mContext = context;
    }

    /** Handles the loss of a run's connection: retries the statement or fails the call. */
    void onConnectionLost(StatementRun run, ConnectionLoss loss) {
        mContext.logDecision(
                run + " lost its connection to " + run.copy().record().id() + ": " + loss);
        mGroup.dropConnection(run);
        if (loss != ConnectionLoss.LIMIT) {
            mGroup.checkHealth(run.copy());
        }
        if (run.stage() != StatementRun.Stage.ENDED) {
            long pauseNanos = loss == ConnectionLoss.LIMIT ? LeasedGroup.OVERLOAD_BACKOFF_NANOS : 0;
            retryOrFail(run, pauseNanos, true);
        }
    }

    private void retryOrFail(StatementRun run, long pauseNanos, boolean excludeCopy) {
        boolean sent = run.stage() == StatementRun.Stage.RUNNING;
        Optional<EndpointError> error = StatementFailures.errorUnlessSent(sent);
        RetryDecision decision =
                sent || run.call().step() == TransactionStep.CONTINUE
                        ? RetryDecision.decide(run.retryClass(), error, SessionResult.State.IDLE)
                        : new RetryDecision.RetryOnAnyCopy();
        if (decision instanceof RetryDecision.Fail fail) {
            mGroup.fail(run, fail.failure(), fail.transactionFailed());
        } else if (run.mayRetry(mContext.nowNanos())) {
            mGroup.requeue(run, pauseNanos, excludeCopy);
        } else {
            mGroup.fail(
                    run,
                    StatementFailures.attemptsExhausted(run.retryClass(), error),
                    run.call().step() != TransactionStep.NONE);
        }
    }

    /** Ends a run whose session values or prepared statement could not be set up. */
    void onSetupFailed(StatementRun run, String text) {
        mContext.logDecision(
                "a connection of " + run.call().group() + " could not be set up: " + text);
        onConnectionLost(run, ConnectionLoss.CLOSED);
    }

    /** Handles answers that need not be those of the commands before the run's statement. */
    void onUncertainSetup(StatementRun run, String reason) {
        mContext.logDecision(run + " closes its connection: " + reason);
        abandonConnection(run);
    }

    /** Handles an error that need not be that of the run's statement. */
    void onUncertainError(StatementRun run, SessionResult result) {
        mContext.logDecision(run + " may have failed: " + result.text());
        boolean repeatable = run.retryClass() == RetryDecision.RetryClass.READ;
        if (repeatable || run.areValuesUncertain()) {
            // The error may be the statement's own, so the copy may be overloaded or behind.
            mGroup.dropConnection(run);
            retryOrFail(run, LeasedGroup.OVERLOAD_BACKOFF_NANOS, true);
        } else {
            run.awaitCertainAnswer(mContext.nowNanos() + CERTAIN_ANSWER_TIMEOUT_NANOS);
        }
    }

    /** Handles a run that got no certain answer after an uncertain error. */
    void onAnswerOverdue(StatementRun run) {
        mContext.logDecision(run + " closes its connection: its answer is uncertain");
        abandonConnection(run);
    }

    private void abandonConnection(StatementRun run) {
        mGroup.dropConnection(run);
        retryOrFail(run, 0, false);
    }

    /** Closes the connections whose rollback got no answer in time, which rolls back. */
    void closeUnansweredRollbacks(long nowNanos) {
        mGroup.pools().stream()
                .flatMap(pool -> pool.sessions().stream())
                .filter(s -> s.task().filter(RollbackTask.class::isInstance).isPresent())
                .filter(s -> nowNanos - s.lastUsedNanos() >= ROLLBACK_TIMEOUT_NANOS)
                .toList()
                .forEach(s -> mGroup.closeAsLost(s, ConnectionLoss.SILENT));
    }

    /** Handles a certain answer after which the connection is in another state than expected. */
    void onUnexpectedState(StatementRun run, SessionResult result) {
        boolean mayBeKept =
                run.transaction().isPresent()
                        && run.call().writes()
                        && result.state() == SessionResult.State.IDLE;
        if (mayBeKept) {
            mGroup.dropConnection(run);
            mGroup.fail(run, Failure.mayHaveRun("the write ran outside of its transaction"), true);
        } else {
            onConnectionLost(run, ConnectionLoss.CLOSED);
        }
    }

    /** Ends a run whose deadline has passed. */
    void timeOut(StatementRun run) {
        boolean sent = run.stage() == StatementRun.Stage.RUNNING;
        mGroup.dropConnection(run);
        mGroup.checkHealth(run.copy());
        mGroup.fail(
                run, StatementFailures.timedOut(sent), run.call().step() != TransactionStep.NONE);
    }
}
