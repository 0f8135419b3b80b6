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
    private static final long DURABLE_NANOS = 2_000_000_000L;

    /** Codes of refusals caused by the state of the database rather than the statement. */
    private static final Set<ErrorCode> TRANSIENT =
            Set.of(ErrorCode.UNAVAILABLE, ErrorCode.MOVED, ErrorCode.OVERLOADED);

    private GroupResults() {}

    static void receive(GroupStep step, GroupInput.ResultReceived received) {
        Running running = step.mRunning.get(received.connection());
        if (running != null && running.command() == received.command()) {
            finish(step, running, received.result());
        }
    }

    /**
     * Ends a running command with an unknown outcome, for example after its primary was superseded.
     */
    static void abandon(GroupStep step, Running running, String reason) {
        finish(step, running, new DatabaseResult.Lost(Failure.mayHaveRun(reason)));
    }

    private static void finish(GroupStep step, Running running, DatabaseResult result) {
        step.mRunning = step.mRunning.without(running.connection());
        if (result instanceof DatabaseResult.Lost lost) {
            lost(step, running, lost.failure());
        } else if (result instanceof DatabaseResult.Refused refused) {
            refused(step, running, refused.failure());
        } else if (result instanceof DatabaseResult.Done done) {
            done(step, running, done);
        }
    }

    private static void done(GroupStep step, Running running, DatabaseResult.Done done) {
        Work work = running.work();
        GroupOperation operation = work.operation();
        if (operation instanceof GroupOperation.Begin) {
            begun(step, running);
        } else if (operation instanceof GroupOperation.ExecuteInTransaction execute) {
            boolean write = execute.statement().access() == Access.WRITE;
            keepTransaction(step, running, write);
            step.answer(work, answer(running, done));
        } else if (operation instanceof GroupOperation.Commit commit) {
            boolean wrote =
                    step.mTransactions
                            .find(commit.transaction())
                            .map(TransactionTable.Open::wrote)
                            .orElse(true);
            step.finishTransaction(commit.transaction());
            if (wrote) {
                committed(step, running, done.position(), plain(work, done.position()));
            } else {
                step.answer(work, plain(work, LogPosition.ZERO));
            }
        } else if (operation instanceof GroupOperation.Rollback rollback) {
            step.finishTransaction(rollback.transaction());
            step.answer(work, plain(work, LogPosition.ZERO));
        } else {
            executed(step, running, done);
        }
    }

    private static void begun(GroupStep step, Running running) {
        Work work = running.work();
        if (!step.leaseValid()) {
            step.close(running.connection());
            step.failMoved(work);
            return;
        }
        TransactionId id = new TransactionId(step.mView.group(), step.mView.epoch(), work.secret());
        step.mTransactions =
                step.mTransactions.with(
                        new TransactionTable.Open(
                                id,
                                work.workspace(),
                                running.connection(),
                                running.term(),
                                step.mNow,
                                step.mNow,
                                false,
                                false));
        step.mPools =
                step.mPools.with(
                        running.endpoint(),
                        step.pool(running.endpoint()).withPinned(running.connection()));
        step.answer(
                work, new GroupAnswer(Optional.empty(), Optional.of(id), work.request().mark()));
    }

    private static void executed(GroupStep step, Running running, DatabaseResult.Done done) {
        Work work = running.work();
        step.idle(running.connection());
        if (!work.read()) {
            committed(step, running, done.position(), answer(running, done));
            return;
        }
        boolean fits =
                running.role() == Role.PRIMARY
                        || running.routing()
                                .accepts(
                                        GroupDispatch.query(step, work, step.replicas()),
                                        done.position());
        if (fits) {
            step.answer(work, answer(running, done));
        } else {
            step.forgetStatus(running.endpoint());
            usePrimary(
                    step,
                    work,
                    Failure.mayHaveRun("the replica no longer holds the required position"));
        }
    }

    private static GroupAnswer answer(Running running, DatabaseResult.Done done) {
        Work work = running.work();
        ServedBy servedBy = new ServedBy(running.endpoint(), running.role(), running.term());
        SessionMark mark = work.request().mark();
        boolean own = work.operation() instanceof GroupOperation.Execute;
        SessionMark next =
                work.read()
                        ? mark.withRead(done.position())
                        : own ? mark.withWrite(done.position()) : mark;
        return new GroupAnswer(
                Optional.of(
                        new StatementAnswer(done.columns(), done.rows(), done.updated(), servedBy)),
                Optional.empty(),
                next);
    }

    private static GroupAnswer plain(Work work, LogPosition write) {
        return new GroupAnswer(
                Optional.empty(), Optional.empty(), work.request().mark().withWrite(write));
    }

    private static void committed(
            GroupStep step, Running running, LogPosition position, GroupAnswer answer) {
        acknowledge(
                step,
                new Committed(
                        running.command(),
                        running.work(),
                        position,
                        running.term(),
                        answer,
                        step.mNow + DURABLE_NANOS));
    }

    /** Acknowledges a committed write, keeps it pending or reports its outcome as unknown. */
    static void acknowledge(GroupStep step, Committed write) {
        AcknowledgementPolicy.Acknowledgement decision =
                step.mPolicies
                        .acknowledgement()
                        .apply(step.mView.acknowledge())
                        .decide(
                                new AcknowledgementPolicy.Query(
                                        write.position(),
                                        write.term(),
                                        step.leaseValid(),
                                        step.mView.finishableTerm(step.mNow),
                                        step.replicas(),
                                        step.mHistory));
        boolean late = step.mNow - write.untilNanos() >= 0;
        if (decision == AcknowledgementPolicy.Acknowledgement.WAIT && !late) {
            step.mCommitted = step.mCommitted.with(write.number(), write);
            return;
        }
        step.mCommitted = step.mCommitted.without(write.number());
        if (decision == AcknowledgementPolicy.Acknowledgement.NOW) {
            step.answer(write.work(), write.answer());
        } else if (decision == AcknowledgementPolicy.Acknowledgement.NEVER) {
            retryIdempotent(
                    step,
                    write.work(),
                    Failure.mayHaveRun("the primary or the lease was superseded"));
        } else {
            step.fail(write.work(), Failure.mayHaveRun("no replica confirmed the write"));
        }
    }

    /** Reconsiders all committed writes that are not acknowledged yet. */
    static void acknowledgeAll(GroupStep step) {
        step.mCommitted.values().toList().forEach(w -> acknowledge(step, w));
    }

    private static void retryIdempotent(GroupStep step, Work work, Failure failure) {
        if (failure.verdict() == Verdict.NOT_RUN) {
            step.retry(work, failure);
        } else if (work.operation() instanceof GroupOperation.Execute
                && work.operation().idempotent()) {
            step.retry(work.withMayHaveRun(), failure);
        } else {
            step.fail(work, failure);
        }
    }

    private static void usePrimary(GroupStep step, Work work, Failure failure) {
        Work next = work.withPrimaryOnly();
        next = failure.verdict() == Verdict.NOT_RUN ? next : next.withMayHaveRun();
        if (step.takesWork() && work.deadlineNanos() - step.mNow > 0) {
            step.enqueue(next, true);
        } else {
            step.fail(next, failure);
        }
    }

    private static void lost(GroupStep step, Running running, Failure failure) {
        Work work = running.work();
        step.close(running.connection());
        step.mActions.add(new GroupAction.SuspectEndpoint(running.endpoint()));
        work.transaction().ifPresent(t -> step.mTransactions = step.mTransactions.without(t));
        GroupOperation operation = work.operation();
        if (operation instanceof GroupOperation.Rollback) {
            // The database rolls back when the connection closes.
            step.answer(work, plain(work, LogPosition.ZERO));
        } else if (work.transaction().isPresent()) {
            step.fail(work, transactionLost(failure));
        } else if (operation instanceof GroupOperation.Begin) {
            step.retry(
                    work,
                    Failure.notRun(ErrorCode.UNAVAILABLE, "the transaction could not be started"));
        } else if (running.role() == Role.REPLICA) {
            step.forgetStatus(running.endpoint());
            usePrimary(step, work, failure);
        } else {
            retryIdempotent(step, work, failure);
        }
    }

    private static Failure transactionLost(Failure failure) {
        return failure.verdict() == Verdict.NOT_RUN
                ? Failure.notRun(ErrorCode.TRANSACTION_LOST, "the transaction was rolled back")
                : failure;
    }

    private static void refused(GroupStep step, Running running, Failure failure) {
        Work work = running.work();
        GroupOperation operation = work.operation();
        boolean passing =
                failure.verdict() == Verdict.NOT_RUN && TRANSIENT.contains(failure.code());
        if (operation instanceof GroupOperation.ExecuteInTransaction && !passing) {
            keepTransaction(step, running, false);
            step.fail(work, failure);
        } else if (work.transaction().isPresent()) {
            work.transaction().flatMap(step.mTransactions::find).ifPresent(step::drop);
            if (operation instanceof GroupOperation.Rollback) {
                step.answer(work, plain(work, LogPosition.ZERO));
            } else {
                step.fail(work, passing ? transactionLost(failure) : failure);
            }
        } else {
            step.idle(running.connection());
            if (running.role() == Role.REPLICA) {
                step.forgetStatus(running.endpoint());
                usePrimary(step, work, failure);
            } else if (passing) {
                step.retry(work, failure);
            } else {
                step.fail(work, failure);
            }
        }
    }

    private static void keepTransaction(GroupStep step, Running running, boolean write) {
        TransactionId id = running.work().transaction().orElseThrow();
        step.mTransactions
                .find(id)
                .ifPresent(
                        open ->
                                step.mTransactions =
                                        step.mTransactions.with(open.withIdle(write, step.mNow)));
        step.mPools =
                step.mPools.with(
                        running.endpoint(),
                        step.pool(running.endpoint()).withPinned(running.connection()));
    }
}
