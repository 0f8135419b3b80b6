package org.crocusturn.daemon.controlhosts;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BiPredicate;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.crocusturn.core.ErrorCode;
import org.crocusturn.core.Failure;
import org.crocusturn.core.HostId;
import org.crocusturn.core.PeerMessage;
import org.crocusturn.core.controlhosts.ForwardedProposal;
import org.crocusturn.core.controlhosts.ProposalReply;
import org.crocusturn.core.operators.ChangeOutcome;
import org.crocusturn.core.operators.ControlCommand.OperatorCommand;

/** Tracks the changes that this host forwarded to the leader. Safe for any thread. */
final class ForwardedChanges {
    private static final Logger LOG = LogManager.getLogger(ForwardedChanges.class);

    /** Longer than the attempt timeout of {@link ProposalDuty}, which ignores later replies. */
    private static final long REPLY_TIMEOUT_MILLIS = 5_000;

    private final BiPredicate<HostId, PeerMessage> mSender;
    private final Map<Long, Pending> mPending = new ConcurrentHashMap<>();

    /** A proposal that was sent to the leader, and its outcome. */
    private record Pending(ForwardedProposal proposal, CompletableFuture<ChangeOutcome> outcome) {}

    private ForwardedChanges(BiPredicate<HostId, PeerMessage> sender) {
        mSender = sender;
    }

    /** Creates an empty table; the sender returns whether a message was sent to a member. */
    static ForwardedChanges create(BiPredicate<HostId, PeerMessage> sender) {
        return new ForwardedChanges(sender);
    }

    /**
     * Forwards an attempt to the leader.
     *
     * @return the result of the attempt, which is unknown if no reply arrives in time; empty if the
     *     attempt was not sent
     */
    Optional<CompletableFuture<ProposalEvent.AttemptEnded>> forward(
            HostId leader, long attempt, OperatorCommand command) {
        CompletableFuture<ChangeOutcome> reply = new CompletableFuture<>();
        ForwardedProposal proposal = new ForwardedProposal(attempt, command);
        mPending.put(attempt, new Pending(proposal, reply));
        if (!mSender.test(leader, proposal)) {
            mPending.remove(attempt);
            return Optional.empty();
        }
        return Optional.of(
                reply.orTimeout(REPLY_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                        .whenComplete((outcome, error) -> mPending.remove(attempt))
                        .thenApply(outcome -> toAttemptEnded(attempt, outcome))
                        .exceptionally(
                                e ->
                                        new ProposalEvent.AttemptEnded(
                                                attempt, Optional.empty(), true)));
    }

    /** Handles a reply of the leader; one that belongs to no pending attempt is not used. */
    void onReply(ProposalReply reply) {
        Optional.ofNullable(mPending.get(reply.id()))
                .filter(pending -> reply.answers(pending.proposal()))
                .ifPresentOrElse(
                        pending -> pending.outcome().complete(reply.outcome()),
                        () ->
                                LOG.info(
                                        "controlhosts: the reply to attempt {} of change {} belongs"
                                                + " to no open attempt",
                                        reply.id(),
                                        reply.outcome().changeId()));
    }

    private static ProposalEvent.AttemptEnded toAttemptEnded(long attempt, ChangeOutcome outcome) {
        ErrorCode code = outcome.refusal().map(Failure::code).orElse(ErrorCode.INTERNAL);
        boolean retry = code == ErrorCode.UNAVAILABLE || code == ErrorCode.OUTCOME_UNKNOWN;
        return new ProposalEvent.AttemptEnded(
                attempt,
                retry ? Optional.empty() : Optional.of(outcome),
                code == ErrorCode.OUTCOME_UNKNOWN);
    }
}
