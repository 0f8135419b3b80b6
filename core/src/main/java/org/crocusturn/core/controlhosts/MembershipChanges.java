package org.crocusturn.core.controlhosts;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.crocusturn.core.Decision;
import org.crocusturn.core.HostId;

/** Applies changes of the consensus group, one member at a time. */
final class MembershipChanges {
    private MembershipChanges() {}

    /** Appends the changed membership, which is in force at once, or rejects the change. */
    static Decision<ConsensusState, ConsensusAction> propose(
            ConsensusState state, ConsensusInput.ChangeMembership input, long nowNanos) {
        return Proposals.rejectionReason(state, nowNanos)
                .or(() -> changeRejectionReason(state, input.change()))
                .or(() -> quorumRejectionReason(state, input.change(), nowNanos))
                .map(reason -> Proposals.reject(state, input.proposalId(), reason))
                .orElseGet(() -> Decision.of(append(state, input, nowNanos)));
    }

    private static Optional<String> changeRejectionReason(
            ConsensusState state, MembershipChange change) {
        // Majorities of two memberships overlap only if they differ in one voter.
        if (Consensus.isMembershipChanging(state)) {
            return Optional.of("another membership change is not committed yet");
        }
        if (change instanceof MembershipChange.AddLearner add) {
            return reasonIf(
                    member(state, add.host()).isPresent(), add.host() + " is a member already");
        }
        if (change instanceof MembershipChange.Promote promote) {
            return promotionRejectionReason(state, promote.host());
        }
        HostId host = ((MembershipChange.Remove) change).host();
        boolean last =
                state.membership().voters().size() == 1
                        && member(state, host).filter(Member::voter).isPresent();
        return reasonIf(member(state, host).isEmpty(), host + " is not a member")
                .or(() -> reasonIf(last, host + " is the last voter"));
    }

    private static Optional<String> promotionRejectionReason(ConsensusState state, HostId host) {
        Optional<Member> member = member(state, host);
        if (member.isEmpty() || member.get().voter()) {
            return Optional.of(host + " is not a learner");
        }
        Progress progress = state.leaderRole().orElseThrow().progress().get(host);
        boolean caughtUp =
                progress.counted()
                        && progress.matchIndex() >= state.commitIndex()
                        && progress.matchIndex() > 0;
        return reasonIf(!caughtUp, host + " has not caught up");
    }

    /** Returns a reason if the voters that currently answer would not be a majority afterwards. */
    private static Optional<String> quorumRejectionReason(
            ConsensusState state, MembershipChange change, long nowNanos) {
        Membership next = new Membership(changedMembers(state.membership(), change));
        ConsensusRole.Leader leader = state.leaderRole().orElseThrow();
        long answering =
                next.voters().stream()
                        .map(Member::host)
                        .filter(
                                host ->
                                        host.equals(state.self())
                                                || isResponsive(
                                                        leader.progress().get(host), nowNanos))
                        .count();
        return reasonIf(
                answering < next.majoritySize(),
                "only " + answering + " of " + next.voters().size() + " voters would answer");
    }

    private static boolean isResponsive(Progress progress, long nowNanos) {
        return progress.counted()
                && nowNanos - progress.ackedNanos() < ConsensusTimings.MAX_ELECTION_TIMEOUT_NANOS;
    }

    private static Optional<Member> member(ConsensusState state, HostId host) {
        return state.membership().member(host);
    }

    private static Optional<String> reasonIf(boolean rejected, String reason) {
        return rejected ? Optional.of(reason) : Optional.empty();
    }

    private static ConsensusState append(
            ConsensusState state, ConsensusInput.ChangeMembership input, long nowNanos) {
        Membership next = new Membership(changedMembers(state.membership(), input.change()));
        ConsensusState appended =
                Proposals.append(state, input.proposalId(), new LogContent.MembershipContent(next));
        ConsensusRole.Leader leader = appended.leaderRole().orElseThrow();
        Map<HostId, Progress> progress =
                next.members().stream()
                        .map(Member::host)
                        .filter(host -> !host.equals(state.self()))
                        .collect(
                                Collectors.toMap(
                                        Function.identity(),
                                        host ->
                                                leader.progress()
                                                        .getOrDefault(
                                                                host,
                                                                learnerProgress(
                                                                        appended, nowNanos))));
        return appended.withRole(leader.withProgress(progress));
    }

    private static Progress learnerProgress(ConsensusState state, long nowNanos) {
        return Progress.create(state.log().lastIndex(), nowNanos).withoutCounting();
    }

    private static List<Member> changedMembers(Membership membership, MembershipChange change) {
        List<Member> members = membership.members();
        if (change instanceof MembershipChange.AddLearner add) {
            Member learner = new Member(add.host(), add.linkAddress(), false);
            return Stream.concat(members.stream(), Stream.of(learner)).toList();
        }
        if (change instanceof MembershipChange.Promote promote) {
            return members.stream()
                    .map(
                            m ->
                                    m.host().equals(promote.host())
                                            ? new Member(m.host(), m.linkAddress(), true)
                                            : m)
                    .toList();
        }
        HostId removed = ((MembershipChange.Remove) change).host();
        return members.stream().filter(m -> !m.host().equals(removed)).toList();
    }
}
