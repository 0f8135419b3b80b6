package org.crocusturn.core.controlhosts;

import java.util.Optional;
import org.crocusturn.core.Decision;
import org.crocusturn.core.HostId;
import org.crocusturn.core.LogPosition;

/**
 * Handles the recovery of members that lost their disk.
 *
 * <p>A recovering member asks the leader for a barrier, an entry appended after the member's start.
 * It votes and counts again once the barrier is committed without counting the member.
 * docs/consensus.md explains why this is safe.
 */
final class Recoveries {
    private Recoveries() {}

    /** Asks the leader for a barrier unless it has already named one in this term. */
    static ConsensusState requestBarrier(ConsensusState state, HostId leader) {
        boolean named =
                state.recovery().barrier().filter(b -> b.term() == state.term()).isPresent();
        return !state.hardState().recovering() || named
                ? state
                : state.withDeferred(
                        leader,
                        new ConsensusMessage.RecoveryRequest(
                                state.term(), state.self(), state.recovery().nonce()));
    }

    /** Appends a barrier for a recovering member, once for each start of the member. */
    static Decision<ConsensusState, ConsensusAction> onRecoveryRequest(
            ConsensusState state,
            HostId from,
            ConsensusMessage.RecoveryRequest request,
            long nowNanos) {
        if (request.term() > state.term()) {
            return Elections.adoptTerm(state, request.term(), nowNanos);
        }
        return Consensus.leaderInTerm(state, request.term())
                .filter(leader -> leader.progress().containsKey(from))
                .map(
                        leader ->
                                Decision.<ConsensusState, ConsensusAction>of(
                                        replyWithBarrier(state, leader, from, request.nonce())))
                .orElse(Decision.of(state));
    }

    /** Records the barrier named by the leader. */
    static ConsensusState onRecoveryReply(
            ConsensusState state, ConsensusMessage.RecoveryReply reply) {
        boolean current = reply.term() == state.term() && reply.nonce() == state.recovery().nonce();
        return current && state.hardState().recovering()
                ? state.withRecovery(
                        new ConsensusState.Recovery(reply.nonce(), Optional.of(reply.barrier())))
                : state;
    }

    /** Ends the recovery once the barrier of the current leader is committed and synced here. */
    static ConsensusState completeRecovery(ConsensusState state) {
        boolean done =
                state.hardState().recovering()
                        && state.recovery()
                                .barrier()
                                .filter(b -> b.term() == state.term())
                                .filter(b -> b.index() <= state.commitIndex())
                                .filter(b -> b.index() <= state.persistQueue().durableIndex())
                                .isPresent();
        return done ? state.withHardState(state.hardState().withRecovered()) : state;
    }

    private static ConsensusState replyWithBarrier(
            ConsensusState state, ConsensusRole.Leader leader, HostId from, long nonce) {
        Optional<LogPosition> known =
                Optional.ofNullable(leader.barriers().get(from))
                        .filter(barrier -> barrier.nonce() == nonce)
                        .map(ConsensusRole.Barrier::position);
        ConsensusLog log =
                known.isPresent()
                        ? state.log()
                        : state.log().withAppended(state.term(), new LogContent.EmptyContent());
        LogPosition position = known.orElse(log.lastPosition());
        return state.withLog(log)
                .withRole(
                        leader.withBarrier(from, new ConsensusRole.Barrier(nonce, position))
                                .withProgress(from, leader.progress().get(from).withoutCounting()))
                .withDeferred(
                        from, new ConsensusMessage.RecoveryReply(state.term(), nonce, position));
    }
}
