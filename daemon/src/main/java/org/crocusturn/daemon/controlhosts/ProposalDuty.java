package org.crocusturn.daemon.controlhosts;

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
 * Brings operators' changes to the leader, whoever leads.
 *
 * <p>Every attempt can be repeated, because a change id is decided only once.
 */
public final class ProposalDuty implements DutyHandler<ProposalEvent> {
    /** Time after which an operator is answered, in nanoseconds. */
    private static final long DEADLINE_NANOS = 6_000_000_000L;

    /** Time after which an attempt is given up, in nanoseconds. */
    private static final long ATTEMPT_NANOS = 1_500_000_000L;

    private static final long TICK_NANOS = 20_000_000;

    private final ProposalPorts mPorts;
    private final Map<Long, Proposal> mProposals = new HashMap<>();
    private final Map<Long, Long> mAttempts = new HashMap<>();
    private long mNextId = 1;
    private long mNextAttempt = 1;

    private ProposalDuty(ProposalPorts ports) {
        mPorts = ports;
    }

    /** Is an open change with its running attempt, 0 if none runs. */
    private record Proposal(
            OperatorCommand command,
            CompletableFuture<ChangeOutcome> answer,
            long deadlineNanos,
            long attempt,
            long attemptNanos,
            boolean mayHaveRun) {
        private Proposal withAttempt(long number, long untilNanos) {
            return new Proposal(command, answer, deadlineNanos, number, untilNanos, mayHaveRun);
        }

        private Proposal withoutAttempt(boolean unknown) {
            return new Proposal(command, answer, deadlineNanos, 0, 0, mayHaveRun || unknown);
        }
    }

    /** Creates the handler. */
    public static ProposalDuty create(ProposalPorts ports) {
        return new ProposalDuty(Objects.requireNonNull(ports, "ports"));
    }

    @Override
    public void onEvent(ProposalEvent event) {
        if (event instanceof ProposalEvent.Asked asked) {
            long id = mNextId++;
            mProposals.put(
                    id,
                    new Proposal(
                            asked.command(),
                            asked.answer(),
                            SteadyClock.nanoTime() + DEADLINE_NANOS,
                            0,
                            0,
                            false));
            attempt(id);
        } else if (event instanceof ProposalEvent.Ended ended) {
            end(ended);
        }
    }

    @Override
    public long onTimer(long nowNanos) {
        List.copyOf(mProposals.keySet()).forEach(id -> check(id, nowNanos));
        return nowNanos + (mProposals.isEmpty() ? ATTEMPT_NANOS : TICK_NANOS);
    }

    private void check(long id, long nowNanos) {
        Proposal proposal = mProposals.get(id);
        if (proposal.deadlineNanos() - nowNanos <= 0) {
            mProposals.remove(id);
            mAttempts.remove(proposal.attempt());
            proposal.answer().complete(unanswered(proposal));
        } else if (proposal.attempt() == 0) {
            attempt(id);
        } else if (proposal.attemptNanos() - nowNanos <= 0) {
            mAttempts.remove(proposal.attempt());
            mProposals.put(id, proposal.withoutAttempt(true));
        }
    }

    private void attempt(long id) {
        Proposal proposal = mProposals.get(id);
        long number = mNextAttempt++;
        long until = SteadyClock.nanoTime() + ATTEMPT_NANOS;
        if (mPorts.leads()) {
            mAttempts.put(number, id);
            mProposals.put(id, proposal.withAttempt(number, until));
            mPorts.proposeHere(number, proposal.command());
        } else if (mPorts.leaderHint()
                .filter(leader -> mPorts.forward(leader, number, proposal.command()))
                .isPresent()) {
            mAttempts.put(number, id);
            mProposals.put(id, proposal.withAttempt(number, until));
        }
    }

    private void end(ProposalEvent.Ended ended) {
        Long id = mAttempts.remove(ended.attempt());
        if (id == null) {
            return;
        }
        Proposal proposal = mProposals.get(id);
        if (ended.outcome().isPresent()) {
            mProposals.remove(id);
            proposal.answer().complete(ended.outcome().get());
        } else {
            mProposals.put(id, proposal.withoutAttempt(ended.mayHaveRun()));
        }
    }

    private static ChangeOutcome unanswered(Proposal proposal) {
        boolean unknown = proposal.mayHaveRun() || proposal.attempt() != 0;
        Failure failure =
                unknown
                        ? Failure.mayHaveRun("no leader answered; send the change again")
                        : Failure.notRun(ErrorCode.UNAVAILABLE, "no control host leads");
        return new ChangeOutcome(proposal.command().changeId(), 0, Optional.of(failure));
    }
}
