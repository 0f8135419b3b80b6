package org.crocusturn.daemon.controlhosts;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.crocusturn.core.ErrorCode;
import org.crocusturn.core.Failure;
import org.crocusturn.core.operators.ChangeOutcome;
import org.crocusturn.core.operators.ControlCommand.OperatorCommand;
import org.crocusturn.core.ring.DutyHandler;
import org.crocusturn.core.ring.SteadyClock;

/**
 * Submits the changes of operators to the current leader and retries until there is an outcome.
 *
 * <p>Attempts can be repeated because each change id is applied at most once.
 */
public final class ProposalDuty implements DutyHandler<ProposalEvent> {
    /** Maximum time until an operator gets an answer. */
    static final Duration PROPOSAL_TIMEOUT = Duration.ofSeconds(6);

    /** Time after which an attempt without a result is abandoned, in nanoseconds. */
    private static final long ATTEMPT_TIMEOUT_NANOS = 1_500_000_000L;

    private static final long TIMER_INTERVAL_NANOS = 20_000_000;

    private final ProposalContext mContext;
    private final Map<Long, Proposal> mProposals = new HashMap<>();
    private final Map<Long, Long> mProposalIdsByAttempt = new HashMap<>();
    private long mNextId = 1;
    private long mNextAttempt = 1;

    private ProposalDuty(ProposalContext context) {
        mContext = context;
    }

    /**
     * A change without an outcome yet.
     *
     * @param command the change
     * @param outcome future of the outcome for the operator
     * @param deadlineNanos steady time at which the operator is answered at the latest
     * @param attempt number of the running attempt; 0 if there is none
     * @param attemptDeadlineNanos steady time at which the attempt is abandoned
     * @param mayHaveRun whether an earlier attempt may have been committed
     */
    private record Proposal(
            OperatorCommand command,
            CompletableFuture<ChangeOutcome> outcome,
            long deadlineNanos,
            long attempt,
            long attemptDeadlineNanos,
            boolean mayHaveRun) {
        private Proposal withAttempt(long number, long attemptDeadline) {
            return new Proposal(
                    command, outcome, deadlineNanos, number, attemptDeadline, mayHaveRun);
        }

        private Proposal withoutAttempt(boolean outcomeUnknown) {
            return new Proposal(
                    command, outcome, deadlineNanos, 0, 0, mayHaveRun || outcomeUnknown);
        }
    }

    /** Creates the handler. */
    public static ProposalDuty create(ProposalContext context) {
        return new ProposalDuty(Objects.requireNonNull(context, "context"));
    }

    @Override
    public void onEvent(ProposalEvent event) {
        if (event instanceof ProposalEvent.Submitted submitted) {
            long id = mNextId++;
            mProposals.put(
                    id,
                    new Proposal(
                            submitted.command(),
                            submitted.outcome(),
                            SteadyClock.nanoTime() + submitted.limit().toNanos(),
                            0,
                            0,
                            false));
            startAttempt(id);
        } else if (event instanceof ProposalEvent.AttemptEnded ended) {
            onAttemptEnded(ended);
        }
    }

    @Override
    public long onTimer(long nowNanos) {
        List.copyOf(mProposals.keySet()).forEach(id -> checkDeadlines(id, nowNanos));
        return nowNanos + (mProposals.isEmpty() ? ATTEMPT_TIMEOUT_NANOS : TIMER_INTERVAL_NANOS);
    }

    private void checkDeadlines(long id, long nowNanos) {
        Proposal proposal = mProposals.get(id);
        if (proposal.deadlineNanos() - nowNanos <= 0) {
            mProposals.remove(id);
            mProposalIdsByAttempt.remove(proposal.attempt());
            proposal.outcome().complete(timeoutOutcome(proposal));
        } else if (proposal.attempt() == 0) {
            startAttempt(id);
        } else if (proposal.attemptDeadlineNanos() - nowNanos <= 0) {
            mProposalIdsByAttempt.remove(proposal.attempt());
            mProposals.put(id, proposal.withoutAttempt(true));
        }
    }

    private void startAttempt(long id) {
        Proposal proposal = mProposals.get(id);
        long number = mNextAttempt++;
        long attemptDeadline = SteadyClock.nanoTime() + ATTEMPT_TIMEOUT_NANOS;
        if (mContext.isLeader()) {
            mProposalIdsByAttempt.put(number, id);
            mProposals.put(id, proposal.withAttempt(number, attemptDeadline));
            mContext.proposeLocally(number, proposal.command());
        } else if (mContext.leaderHint()
                .filter(leader -> mContext.forward(leader, number, proposal.command()))
                .isPresent()) {
            mProposalIdsByAttempt.put(number, id);
            mProposals.put(id, proposal.withAttempt(number, attemptDeadline));
        }
    }

    private void onAttemptEnded(ProposalEvent.AttemptEnded ended) {
        Long id = mProposalIdsByAttempt.remove(ended.attempt());
        if (id == null) {
            return;
        }
        Proposal proposal = mProposals.get(id);
        if (ended.outcome().isPresent()) {
            mProposals.remove(id);
            proposal.outcome().complete(ended.outcome().get());
        } else {
            mProposals.put(id, proposal.withoutAttempt(ended.mayHaveRun()));
        }
    }

    private static ChangeOutcome timeoutOutcome(Proposal proposal) {
        boolean unknown = proposal.mayHaveRun() || proposal.attempt() != 0;
        Failure failure =
                unknown
                        ? Failure.mayHaveRun(
                                "no leader confirmed the change in time; send it again")
                        : Failure.notRun(
                                ErrorCode.UNAVAILABLE, "no control host is the leader now");
        return new ChangeOutcome(proposal.command().changeId(), 0, Optional.of(failure));
    }
}
