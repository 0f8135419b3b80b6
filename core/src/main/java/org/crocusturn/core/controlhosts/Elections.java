package org.crocusturn.core.controlhosts;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.crocusturn.core.Decision;
import org.crocusturn.core.HostId;

/** Handles votes, elections and changes of term. */
final class Elections {
    private Elections() {}

    /** Starts a pre-vote when the election timeout has passed. */
    static Decision<ConsensusState, ConsensusAction> tick(ConsensusState state, long nowNanos) {
        if (nowNanos - state.timing().deadlineNanos() < 0) {
            return Decision.of(state);
        }
        ConsensusState waiting =
                state.withTiming(state.timing().withoutLeader().withTimeout(nowNanos));
        if (!eligible(state)) {
            return Decision.of(waiting);
        }
        ConsensusState asking =
                waiting.withRole(new ConsensusRole.PreCandidate(Set.of(state.self())));
        List<ConsensusAction> sends = new ArrayList<>();
        others(state)
                .forEach(
                        host ->
                                sends.add(
                                        new ConsensusAction.Send(
                                                host, voteRequest(asking, true, false))));
        return new Decision<>(asking, sends);
    }

    /** Starts an election at once at the request of the leader. */
    static Decision<ConsensusState, ConsensusAction> takeOver(
            ConsensusState state, ConsensusMessage.TransferLeadership transfer, long nowNanos) {
        boolean current = transfer.term() == state.term() && state.leading().isEmpty();
        return Decision.of(current && eligible(state) ? stand(state, true, nowNanos) : state);
    }

    /** Answers a vote request. */
    static Decision<ConsensusState, ConsensusAction> request(
            ConsensusState state,
            HostId from,
            ConsensusMessage.VoteRequest request,
            long nowNanos) {
        // A recovering member does not know its earlier votes, so it must not answer.
        if (state.hard().recovering()) {
            return Decision.of(state);
        }
        if (request.term() < state.term() || hearsLeader(state, request, nowNanos)) {
            return Decision.of(state.withHeld(from, refusal(state, request)));
        }
        boolean complete = request.lastEntry().compareTo(state.log().last()) >= 0;
        if (request.preVote()) {
            boolean granted = complete && request.term() > state.term();
            long term = granted ? request.term() : state.term();
            return Decision.of(
                    state.withHeld(from, new ConsensusMessage.VoteReply(term, granted, true)));
        }
        return Consensus.chain(
                follow(state, request.term(), nowNanos),
                next -> Decision.of(vote(next, from, request, complete, nowNanos)));
    }

    /** Records a reply to a vote request. */
    static Decision<ConsensusState, ConsensusAction> reply(
            ConsensusState state, HostId from, ConsensusMessage.VoteReply reply, long nowNanos) {
        if (!reply.granted()) {
            return follow(state, reply.term(), nowNanos);
        }
        if (reply.preVote() && state.role() instanceof ConsensusRole.PreCandidate role) {
            return Decision.of(
                    reply.term() == state.term() + 1
                            ? state.withRole(
                                    new ConsensusRole.PreCandidate(plus(role.votes(), from)))
                            : state);
        }
        if (!reply.preVote() && state.role() instanceof ConsensusRole.Candidate role) {
            return Decision.of(
                    reply.term() == state.term()
                            ? state.withRole(new ConsensusRole.Candidate(plus(role.votes(), from)))
                            : state);
        }
        return Decision.of(state);
    }

    /** Moves from pre-vote to election, or from election to leadership, once a majority agrees. */
    static Decision<ConsensusState, ConsensusAction> tally(ConsensusState state, long nowNanos) {
        if (state.role() instanceof ConsensusRole.PreCandidate role
                && majority(state, role.votes())) {
            return Decision.of(stand(state, false, nowNanos));
        }
        boolean voteSynced =
                state.persists().durableHard().equals(state.hard())
                        || !state.safeguards().persistFirst();
        if (state.role() instanceof ConsensusRole.Candidate role
                && majority(state, role.votes())
                && voteSynced) {
            return Decision.of(lead(state, nowNanos));
        }
        return Decision.of(state);
    }

    /** Adopts a newer term; a leader or candidate of an older term becomes a follower. */
    static Decision<ConsensusState, ConsensusAction> follow(
            ConsensusState state, long term, long nowNanos) {
        return term <= state.term()
                ? Decision.of(state)
                : Consensus.chain(
                        retire(state, nowNanos),
                        next -> Decision.of(next.withHard(next.hard().withTerm(term))));
    }

    /** Makes the member a follower and reports open proposals and the lost leadership. */
    static Decision<ConsensusState, ConsensusAction> retire(ConsensusState state, long nowNanos) {
        ConsensusState follower =
                state.withRole(new ConsensusRole.Follower())
                        .withTiming(state.timing().withoutLeader().withTimeout(nowNanos));
        List<ConsensusAction> actions = new ArrayList<>();
        state.leading()
                .ifPresent(
                        leader -> {
                            leader.proposals().values().stream()
                                    .sorted()
                                    .map(ConsensusAction.ProposalUnknown::new)
                                    .forEach(actions::add);
                            if (leader.established()) {
                                actions.add(new ConsensusAction.LeadershipLost(state.term()));
                            }
                        });
        return new Decision<>(follower, actions);
    }

    /**
     * Returns whether this member may start an election.
     *
     * <p>A voter that an uncommitted change removes stays eligible, because it may be the only
     * member with the complete log; without this rule, no leader could be elected in schedule seed
     * 44.
     */
    private static boolean eligible(ConsensusState state) {
        long committed = Math.max(state.commitIndex(), state.log().baseIndex());
        boolean removing =
                state.log()
                        .membershipAt(committed)
                        .member(state.self())
                        .filter(Member::voter)
                        .isPresent();
        return !state.hard().recovering() && (state.voter() || removing);
    }

    private static boolean hearsLeader(
            ConsensusState state, ConsensusMessage.VoteRequest request, long nowNanos) {
        boolean heard =
                nowNanos - state.timing().heardNanos() < ConsensusTimings.ELECTION_MIN_NANOS;
        return !request.transfer() && (heard || state.leading().isPresent());
    }

    private static ConsensusMessage refusal(
            ConsensusState state, ConsensusMessage.VoteRequest request) {
        return new ConsensusMessage.VoteReply(state.term(), false, request.preVote());
    }

    private static ConsensusState vote(
            ConsensusState state,
            HostId from,
            ConsensusMessage.VoteRequest request,
            boolean complete,
            long nowNanos) {
        boolean granted =
                complete && state.hard().vote().map(request.candidate()::equals).orElse(true);
        ConsensusMessage reply = new ConsensusMessage.VoteReply(state.term(), granted, false);
        return granted
                ? state.withHard(state.hard().withVote(request.candidate()))
                        .withTiming(state.timing().withTimeout(nowNanos))
                        .withHeld(from, reply)
                : state.withHeld(from, reply);
    }

    private static ConsensusState stand(ConsensusState state, boolean transfer, long nowNanos) {
        HardState hard = state.hard().withTerm(state.term() + 1).withVote(state.self());
        ConsensusState candidate =
                state.withHard(hard)
                        .withRole(new ConsensusRole.Candidate(Set.of(state.self())))
                        .withTiming(state.timing().withoutLeader().withTimeout(nowNanos));
        ConsensusMessage request = voteRequest(candidate, false, transfer);
        for (HostId host : others(state)) {
            candidate = candidate.withHeld(host, request);
        }
        return candidate;
    }

    private static ConsensusState lead(ConsensusState state, long nowNanos) {
        long first = state.log().lastIndex() + 1;
        Map<HostId, Progress> progress =
                state.membership().members().stream()
                        .map(Member::host)
                        .filter(host -> !host.equals(state.self()))
                        .collect(
                                Collectors.toMap(
                                        host -> host, host -> Progress.create(first, nowNanos)));
        ConsensusRole role =
                new ConsensusRole.Leader(
                        nowNanos,
                        first,
                        false,
                        nowNanos + ConsensusTimings.HEARTBEAT_NANOS,
                        progress,
                        Map.of(),
                        Map.of(),
                        Optional.empty());
        return state.withRole(role)
                .withTiming(state.timing().withHeard(state.self(), nowNanos))
                .withLog(state.log().plus(state.term(), new LogContent.EmptyContent()));
    }

    private static ConsensusMessage voteRequest(
            ConsensusState state, boolean preVote, boolean transfer) {
        long term = preVote ? state.term() + 1 : state.term();
        return new ConsensusMessage.VoteRequest(
                term, state.self(), state.log().last(), preVote, transfer);
    }

    private static List<HostId> others(ConsensusState state) {
        return state.membership().voters().stream()
                .map(Member::host)
                .filter(host -> !host.equals(state.self()))
                .toList();
    }

    private static boolean majority(ConsensusState state, Set<HostId> votes) {
        long count =
                state.membership().voters().stream()
                        .filter(member -> votes.contains(member.host()))
                        .count();
        return count >= state.membership().majority();
    }

    private static Set<HostId> plus(Set<HostId> votes, HostId from) {
        Set<HostId> all = new HashSet<>(votes);
        all.add(from);
        return all;
    }
}
