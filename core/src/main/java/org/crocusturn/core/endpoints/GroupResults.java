package org.crocusturn.core.endpoints;

import java.util.Optional;
import java.util.Set;
import org.crocusturn.core.ErrorCode;
import org.crocusturn.core.Failure;
import org.crocusturn.core.LogPosition;
import org.crocusturn.core.Verdict;
import org.crocusturn.core.callers.Access;
import org.crocusturn.core.callers.GroupAnswer;
import org.crocusturn.core.callers.GroupOperation;
import org.crocusturn.core.callers.Role;
import org.crocusturn.core.callers.ServedBy;
import org.crocusturn.core.callers.SessionMark;
import org.crocusturn.core.callers.StatementAnswer;
import org.crocusturn.core.callers.TransactionId;

/** Turns database results into replies, retries or pending acknowledgements. */
final class GroupResults {
    /** Time after which a committed write without a replica confirmation has an unknown outcome. */
    private static final long DURABLE_TIMEOUT_NANOS = 2_000_000_000L;

    /** Codes of refusals caused by the state of the database rather than the statement. */
    private static final Set<ErrorCode> TRANSIENT_CODES =
            Set.of(ErrorCode.UNAVAILABLE, ErrorCode.MOVED, ErrorCode.OVERLOADED);

    private GroupResults() {}

    static void handleResult(GroupStep step, GroupInput.ResultReceived received) {
        RunningCommand running = step.mRunning.get(received.connection());
        if (running != null && running.command() == received.command()) {
            finish(step, running, received.result());
        }
    }

    /**
     * Ends a running command with an unknown outcome, for example after its primary was superseded.
     */
    static void abandon(GroupStep step, RunningCommand running, String reason) {
        finish(step, running, new DatabaseResult.Lost(Failure.mayHaveRun(reason)));
    }

    private static void finish(GroupStep step, RunningCommand running, DatabaseResult result) {
        step.mRunning = step.mRunning.without(running.connection());
        if (result instanceof DatabaseResult.Lost lost) {
            handleLost(step, running, lost.failure());
        } else if (result instanceof DatabaseResult.Refused refused) {
            handleRefused(step, running, refused.failure());
        } else if (result instanceof DatabaseResult.Done done) {
            handleDone(step, running, done);
        }
    }

    private static void handleDone(
            GroupStep step, RunningCommand running, DatabaseResult.Done done) {
        PendingRequest pending = running.pending();
        GroupOperation operation = pending.operation();
        if (operation instanceof GroupOperation.Begin) {
            handleTransactionStarted(step, running);
        } else if (operation instanceof GroupOperation.ExecuteInTransaction execute) {
            boolean write = execute.statement().access() == Access.WRITE;
            keepTransactionOpen(step, running, write);
            step.reply(pending, answer(running, done));
        } else if (operation instanceof GroupOperation.Commit commit) {
            boolean wrote =
                    step.mTransactions
                            .find(commit.transaction())
                            .map(TransactionTable.OpenTransaction::wrote)
                            .orElse(true);
            step.finishTransaction(commit.transaction());
            if (wrote) {
                handleCommitted(
                        step,
                        running,
                        done.position(),
                        answerWithoutRows(pending, done.position()));
            } else {
                step.reply(pending, answerWithoutRows(pending, LogPosition.ZERO));
            }
        } else if (operation instanceof GroupOperation.Rollback rollback) {
            step.finishTransaction(rollback.transaction());
            step.reply(pending, answerWithoutRows(pending, LogPosition.ZERO));
        } else {
            handleExecuted(step, running, done);
        }
    }

    private static void handleTransactionStarted(GroupStep step, RunningCommand running) {
        PendingRequest pending = running.pending();
        if (!step.leaseValid()) {
            step.close(running.connection());
            step.failMoved(pending);
            return;
        }
        TransactionId id =
                new TransactionId(step.mView.group(), step.mView.epoch(), pending.secret());
        step.mTransactions =
                step.mTransactions.with(
                        new TransactionTable.OpenTransaction(
                                id,
                                pending.workspace(),
                                running.connection(),
                                running.term(),
                                step.mNowNanos,
                                step.mNowNanos,
                                false,
                                false));
        step.mPools =
                step.mPools.with(
                        running.endpoint(),
                        step.pool(running.endpoint()).withPinned(running.connection()));
        step.reply(
                pending,
                new GroupAnswer(Optional.empty(), Optional.of(id), pending.request().mark()));
    }

    private static void handleExecuted(
            GroupStep step, RunningCommand running, DatabaseResult.Done done) {
        PendingRequest pending = running.pending();
        step.markIdle(running.connection());
        if (!pending.isRead()) {
            handleCommitted(step, running, done.position(), answer(running, done));
            return;
        }
        boolean accepted =
                running.role() == Role.PRIMARY
                        || running.routing()
                                .accepts(
                                        GroupDispatcher.query(step, pending, step.replicas()),
                                        done.position());
        if (accepted) {
            step.reply(pending, answer(running, done));
        } else {
            step.clearStatus(running.endpoint());
            retryAtPrimary(
                    step,
                    pending,
                    Failure.mayHaveRun("the replica no longer holds the required position"));
        }
    }

    private static GroupAnswer answer(RunningCommand running, DatabaseResult.Done done) {
        PendingRequest pending = running.pending();
        ServedBy servedBy = new ServedBy(running.endpoint(), running.role(), running.term());
        SessionMark mark = pending.request().mark();
        boolean outsideTransaction = pending.operation() instanceof GroupOperation.Execute;
        SessionMark next =
                pending.isRead()
                        ? mark.withRead(done.position())
                        : outsideTransaction ? mark.withWrite(done.position()) : mark;
        return new GroupAnswer(
                Optional.of(
                        new StatementAnswer(done.columns(), done.rows(), done.updated(), servedBy)),
                Optional.empty(),
                next);
    }

    private static GroupAnswer answerWithoutRows(PendingRequest pending, LogPosition write) {
        return new GroupAnswer(
                Optional.empty(), Optional.empty(), pending.request().mark().withWrite(write));
    }

    private static void handleCommitted(
            GroupStep step, RunningCommand running, LogPosition position, GroupAnswer answer) {
        acknowledge(
                step,
                new UnacknowledgedWrite(
                        running.command(),
                        running.pending(),
                        position,
                        running.term(),
                        answer,
                        step.mNowNanos + DURABLE_TIMEOUT_NANOS));
    }

    /** Acknowledges a committed write, keeps it pending or reports its outcome as unknown. */
    static void acknowledge(GroupStep step, UnacknowledgedWrite write) {
        AcknowledgementPolicy.Acknowledgement decision =
                step.mPolicies
                        .acknowledgement()
                        .apply(step.mView.acknowledge())
                        .decide(
                                new AcknowledgementPolicy.Query(
                                        write.position(),
                                        write.term(),
                                        step.leaseValid(),
                                        step.mView.finishableTerm(step.mNowNanos),
                                        step.replicas(),
                                        step.mHistory));
        boolean timedOut = step.mNowNanos - write.deadlineNanos() >= 0;
        if (decision == AcknowledgementPolicy.Acknowledgement.WAIT && !timedOut) {
            step.mUnacknowledged = step.mUnacknowledged.with(write.number(), write);
            return;
        }
        step.mUnacknowledged = step.mUnacknowledged.without(write.number());
        if (decision == AcknowledgementPolicy.Acknowledgement.NOW) {
            step.reply(write.pending(), write.answer());
        } else if (decision == AcknowledgementPolicy.Acknowledgement.NEVER) {
            retryIfSafe(
                    step,
                    write.pending(),
                    Failure.mayHaveRun("the primary or the lease was superseded"));
        } else {
            step.fail(write.pending(), Failure.mayHaveRun("no replica confirmed the write"));
        }
    }

    /** Reconsiders all committed writes that are not acknowledged yet. */
    static void acknowledgeAll(GroupStep step) {
        step.mUnacknowledged.values().toList().forEach(w -> acknowledge(step, w));
    }

    private static void retryIfSafe(GroupStep step, PendingRequest pending, Failure failure) {
        if (failure.verdict() == Verdict.NOT_RUN) {
            step.retry(pending, failure);
        } else if (pending.operation() instanceof GroupOperation.Execute
                && pending.operation().idempotent()) {
            step.retry(pending.withMayHaveRun(), failure);
        } else {
            step.fail(pending, failure);
        }
    }

    private static void retryAtPrimary(GroupStep step, PendingRequest pending, Failure failure) {
        PendingRequest next = pending.withPrimaryOnly();
        next = failure.verdict() == Verdict.NOT_RUN ? next : next.withMayHaveRun();
        if (step.acceptsRequests() && pending.deadlineNanos() - step.mNowNanos > 0) {
            step.enqueue(next, true);
        } else {
            step.fail(next, failure);
        }
    }

    private static void handleLost(GroupStep step, RunningCommand running, Failure failure) {
        PendingRequest pending = running.pending();
        step.close(running.connection());
        step.mActions.add(new GroupAction.SuspectEndpoint(running.endpoint()));
        pending.transaction().ifPresent(t -> step.mTransactions = step.mTransactions.without(t));
        GroupOperation operation = pending.operation();
        if (operation instanceof GroupOperation.Rollback) {
            // The database rolls back when the connection closes.
            step.reply(pending, answerWithoutRows(pending, LogPosition.ZERO));
        } else if (pending.transaction().isPresent()) {
            step.fail(pending, transactionLost(failure));
        } else if (operation instanceof GroupOperation.Begin) {
            step.retry(
                    pending,
                    Failure.notRun(ErrorCode.UNAVAILABLE, "the transaction could not be started"));
        } else if (running.role() == Role.REPLICA) {
            step.clearStatus(running.endpoint());
            retryAtPrimary(step, pending, failure);
        } else {
            retryIfSafe(step, pending, failure);
        }
    }

    private static Failure transactionLost(Failure failure) {
        return failure.verdict() == Verdict.NOT_RUN
                ? Failure.notRun(ErrorCode.TRANSACTION_LOST, "the transaction was rolled back")
                : failure;
    }

    private static void handleRefused(GroupStep step, RunningCommand running, Failure failure) {
        PendingRequest pending = running.pending();
        GroupOperation operation = pending.operation();
        boolean isTransient =
                failure.verdict() == Verdict.NOT_RUN && TRANSIENT_CODES.contains(failure.code());
        if (operation instanceof GroupOperation.ExecuteInTransaction && !isTransient) {
            keepTransactionOpen(step, running, false);
            step.fail(pending, failure);
        } else if (pending.transaction().isPresent()) {
            pending.transaction().flatMap(step.mTransactions::find).ifPresent(step::rollBack);
            if (operation instanceof GroupOperation.Rollback) {
                step.reply(pending, answerWithoutRows(pending, LogPosition.ZERO));
            } else {
                step.fail(pending, isTransient ? transactionLost(failure) : failure);
            }
        } else {
            step.markIdle(running.connection());
            if (running.role() == Role.REPLICA) {
                step.clearStatus(running.endpoint());
                retryAtPrimary(step, pending, failure);
            } else if (isTransient) {
                step.retry(pending, failure);
            } else {
                step.fail(pending, failure);
            }
        }
    }

    private static void keepTransactionOpen(GroupStep step, RunningCommand running, boolean write) {
        TransactionId id = running.pending().transaction().orElseThrow();
        step.mTransactions
                .find(id)
                .ifPresent(
                        open ->
                                step.mTransactions =
                                        step.mTransactions.with(
                                                open.withIdle(write, step.mNowNanos)));
        step.mPools =
                step.mPools.with(
                        running.endpoint(),
                        step.pool(running.endpoint()).withPinned(running.connection()));
    }
}
