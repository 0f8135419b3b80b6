package org.crocusturn.core.controlhosts;

import java.util.Optional;
import org.crocusturn.core.Decision;

/** Appends proposals to the leader's log or rejects them. */
final class Proposals {
    private Proposals() {}

    /** Appends a command or rejects it. */
    static Decision<ConsensusState, ConsensusAction> propose(
            ConsensusState state, ConsensusInput.Propose propose, long nowNanos) {
        return rejectionReason(state, nowNanos)
                .map(reason -> reject(state, propose.proposalId(), reason))
                .orElseGet(
                        () ->
                                Decision.of(
                                        append(
                                                state,
                                                propose.proposalId(),
                                                new LogContent.CommandContent(
                                                        propose.proposalId(), propose.command()))));
    }

    /** Returns the reason for which this member currently rejects all proposals, if any. */
    static Optional<String> rejectionReason(ConsensusState state, long nowNanos) {
        if (state.leaderRole().isEmpty()) {
            return Optional.of("this host is not the leader");
        }
        if (!LeaderQuorum.isLeaseValid(state, nowNanos)) {
            return Optional.of("this host does not hold the leader lease");
        }
        ConsensusLog log = state.log();
        long waiting = log.lastIndex() - state.appliedIndex();
        long bytes = log.approximateBytes(state.appliedIndex(), log.lastIndex());
        boolean full =
                waiting >= ConsensusTimings.MAX_UNCOMMITTED_ENTRIES
                        || bytes >= ConsensusTimings.MAX_UNCOMMITTED_BYTES;
        return full
                ? Optional.of(waiting + " entries of " + bytes + " bytes wait for a majority")
                : Optional.empty();
    }

    static Decision<ConsensusState, ConsensusAction> reject(
            ConsensusState state, long proposalId, String reason) {
        return Decision.of(
                state,
                new ConsensusAction.ProposalRejected(proposalId, reason, state.leaderHint()));
    }

    static ConsensusState append(ConsensusState state, long proposalId, LogContent content) {
        ConsensusLog log = state.log().withAppended(state.term(), content);
        ConsensusRole.Leader leader = state.leaderRole().orElseThrow();
        return state.withLog(log).withRole(leader.withProposal(log.lastIndex(), proposalId));
    }
}
