package org.crocusturn.daemon.controlhosts;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.BiPredicate;
import java.util.function.Supplier;
import org.crocusturn.core.HostId;
import org.crocusturn.core.PeerMessage;
import org.crocusturn.core.controlhosts.ForwardedProposal;
import org.crocusturn.core.controlhosts.ProposalReply;
import org.crocusturn.core.operators.ChangeOutcome;
import org.crocusturn.core.operators.ControlCommand.OperatorCommand;
import org.crocusturn.core.ring.ByteBudget;
import org.crocusturn.core.ring.Duty;
import org.crocusturn.core.ring.FailureHandler;
import org.crocusturn.core.ring.HeapShare;
import org.crocusturn.core.ring.ThreadFailures;

/**
 * The changes of operators on a control host: runs the proposal duty, and proposes the changes that
 * other members forward.
 *
 * <p>Safe for any thread.
 */
final class ChangeProposals {
    private static final int RING_CAPACITY = 1_024;

    /**
     * Size in memory of changes without an outcome from which further ones are refused, in bytes;
     * an eighth of a smaller heap.
     */
    static final long MAX_OPEN_CHANGE_BYTES = 16L << 20;

    private final Supplier<Optional<ControlNode>> mNode;
    private final StateHolder mStateHolder;
    private final BiConsumer<HostId, PeerMessage> mReplySender;
    private final ForwardedChanges mForwardedChanges;
    private final Duty<ProposalEvent> mDuty;
    private final ByteBudget mOpenChangeBytes = newChangeBudget(HeapShare.EIGHTH);

    /** Bytes of the changes that other members forwarded to this one and that have no outcome. */
    private final ByteBudget mForwardedBytes = newChangeBudget(HeapShare.SIXTEENTH);

    private ChangeProposals(
            HostId self,
            Supplier<Optional<ControlNode>> node,
            StateHolder stateHolder,
            BiPredicate<HostId, PeerMessage> memberSender,
            BiConsumer<HostId, PeerMessage> replySender,
            FailureHandler failures) {
        mNode = node;
        mStateHolder = stateHolder;
        mReplySender = replySender;
        mForwardedChanges = ForwardedChanges.create(memberSender);
        mDuty =
                Duty.start(
                        self + "-proposals",
                        RING_CAPACITY,
                        ProposalDuty.create(new NodeContext()),
                        failures);
    }

    /**
     * Starts the proposal duty.
     *
     * @param self this host
     * @param node supplier of the consensus node; empty until it has started
     * @param stateHolder holds the applied state
     * @param memberSender sends a message to a member and returns whether it was sent
     * @param replySender sends a reply to a member that forwarded a change
     * @param failures handles the failures of the duty
     */
    static ChangeProposals start(
            HostId self,
            Supplier<Optional<ControlNode>> node,
            StateHolder stateHolder,
            BiPredicate<HostId, PeerMessage> memberSender,
            BiConsumer<HostId, PeerMessage> replySender,
            FailureHandler failures) {
        return new ChangeProposals(self, node, stateHolder, memberSender, replySender, failures);
    }

    /** Proposes a change, but starts no attempt after a time in which its sender gives it up. */
    CompletableFuture<ChangeOutcome> propose(OperatorCommand command, Duration limit) {
        CompletableFuture<ChangeOutcome> outcome = new CompletableFuture<>();
        long bytes = command.approximateBytes();
        if (!mOpenChangeBytes.tryReserveOrSole(bytes)) {
            return CompletableFuture.completedFuture(ChangeRefusals.overloaded(command));
        }
        outcome.whenComplete((result, error) -> mOpenChangeBytes.release(bytes));
        if (!mDuty.offer(new ProposalEvent.Submitted(command, outcome, limit))) {
            outcome.complete(ChangeRefusals.overloaded(command));
        }
        return outcome;
    }

    /** Proposes a change that another member forwards, and replies with its outcome. */
    void onForwardedProposal(HostId from, ForwardedProposal proposal) {
        if (proposal.command() instanceof OperatorCommand command && mNode.get().isPresent()) {
            long bytes = command.approximateBytes();
            if (!mForwardedBytes.tryReserveOrSole(bytes)) {
                reply(from, proposal, ChangeRefusals.overloaded(command));
                return;
            }
            commit(proposal.id(), command)
                    .whenComplete((ended, error) -> mForwardedBytes.release(bytes))
                    .thenAccept(
                            ThreadFailures.guard(
                                    ended ->
                                            reply(
                                                    from,
                                                    proposal,
                                                    ChangeRefusals.outcome(command, ended))));
        }
    }

    /** Handles the reply to a change that this host forwarded. */
    void onReply(ProposalReply reply) {
        mForwardedChanges.onReply(reply);
    }

    /** Stops the proposal duty. */
    void stop(Duration timeout) {
        mDuty.stop(timeout);
    }

    private static ByteBudget newChangeBudget(HeapShare share) {
        return ByteBudget.of(Math.min(MAX_OPEN_CHANGE_BYTES, share.bytes()));
    }

    private void reply(HostId to, ForwardedProposal proposal, ChangeOutcome outcome) {
        mReplySender.accept(to, new ProposalReply(proposal.id(), outcome));
    }

    /** Proposes a change on this host; the result has the stored outcome if it was committed. */
    private CompletableFuture<ProposalEvent.AttemptEnded> commit(
            long attempt, OperatorCommand command) {
        return mNode.get()
                .orElseThrow()
                .propose(command)
                .thenApply(
                        result -> {
                            boolean committed = result instanceof ProposalResult.Committed;
                            return new ProposalEvent.AttemptEnded(
                                    attempt,
                                    committed
                                            ? mStateHolder.outcome(command.changeId())
                                            : Optional.empty(),
                                    !(result instanceof ProposalResult.Rejected));
                        });
    }

    /** Gives the proposal duty access to the consensus node. */
    private final class NodeContext implements ProposalContext {
        @Override
        public boolean isLeader() {
            return mNode.get().filter(ControlNode::isLeaderLeaseValid).isPresent();
        }

        @Override
        public Optional<HostId> leaderHint() {
            return mNode.get().flatMap(ControlNode::leaderHint);
        }

        @Override
        public void proposeLocally(long attempt, OperatorCommand command) {
            commit(attempt, command).thenAccept(ThreadFailures.guard(ended -> mDuty.offer(ended)));
        }

        @Override
        public boolean forward(HostId leader, long attempt, OperatorCommand command) {
            Optional<CompletableFuture<ProposalEvent.AttemptEnded>> sent =
                    mForwardedChanges.forward(leader, attempt, command);
            sent.ifPresent(
                    future -> future.thenAccept(ThreadFailures.guard(ended -> mDuty.offer(ended))));
            return sent.isPresent();
        }
    }
}
