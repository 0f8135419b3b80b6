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
        if (nowNanos - state.electionTimer().deadlineNanos() < 0) {
            return Decision.of(state);
        }
        ConsensusState timedOut =
                state.withElectionTimer(
                        timerAfterTimeout(state).withoutLeader().withRandomTimeout(nowNanos));
        if (!mayStartElection(state)) {
            return Decision.of(timedOut);
        }
        ConsensusState preCandidate =
                timedOut.withRole(new ConsensusRole.PreCandidate(Set.of(state.self())));
        List<ConsensusAction> sends = new ArrayList<>();
        otherVoters(state)
                .forEach(
                        host ->
                                sends.add(
                                        new ConsensusAction.Send(
                                                host, voteRequest(preCandidate, true, false))));
        return new Decision<>(preCandidate, sends);
    }

    private static ConsensusState.ElectionTimer timerAfterTimeout(ConsensusState state) {
        return state.role() instanceof ConsensusRole.Follower
                ? state.electionTimer()
                : state.electionTimer().withFailedElection();
    }

    /** Starts an election at once at the request of the leader. */
    static Decision<ConsensusState, ConsensusAction> onTransferLeadership(
            ConsensusState state, ConsensusMessage.TransferLeadership transfer, long nowNanos) {
        boolean current = transfer.term() == state.term() && state.leaderRole().isEmpty();
        return Decision.of(
                current && mayStartElection(state) ? startElection(state, true, nowNanos) : state);
    }

    /** Answers a vote request. */
    static Decision<ConsensusState, ConsensusAction> onVoteRequest(
            ConsensusState state,
            HostId from,
            ConsensusMessage.VoteRequest request,
            long nowNanos) {
        // A recovering member does not know its earlier votes, so it must not answer.
        if (state.hardState().recovering()) {
            return Decision.of(state);
        }
        if (request.term() < state.term()
                || isLeaderActive(state, request, nowNanos)
                || request.preVote() && isElectionOpen(state, nowNanos)) {
            return Decision.of(state.withDeferred(from, rejection(state, request)));
        }
        boolean logUpToDate = request.lastEntry().compareTo(state.log().lastPosition()) >= 0;
        if (request.preVote()) {
            boolean granted = logUpToDate && request.term() > state.term();
            long term = granted ? request.term() : state.term();
            return Decision.of(
                    state.withDeferred(from, new ConsensusMessage.VoteReply(term, granted, true)));
        }
        return Consensus.chain(
                adoptTerm(state, request.term(), nowNanos),
                next -> Decision.of(castVote(next, from, request, logUpToDate, nowNanos)));
    }

    /** Records a reply to a vote request. */
    static Decision<ConsensusState, ConsensusAction> onVoteReply(
            ConsensusState state, HostId from, ConsensusMessage.VoteReply reply, long nowNanos) {
        if (!reply.granted()) {
            return adoptTerm(state, reply.term(), nowNanos);
        }
        if (reply.preVote() && state.role() instanceof ConsensusRole.PreCandidate role) {
            return Decision.of(
                    reply.term() == state.term() + 1
                            ? state.withRole(
                                    new ConsensusRole.PreCandidate(withVote(role.votes(), from)))
                            : state);
        }
        if (!reply.preVote() && state.role() instanceof ConsensusRole.Candidate role) {
            return Decision.of(
                    reply.term() == state.term()
                            ? state.withRole(
                                    new ConsensusRole.Candidate(withVote(role.votes(), from)))
                            : state);
        }
        return Decision.of(state);
    }

    /** Moves from pre-vote to election, or from election to leadership, once a majority agrees. */
    static Decision<ConsensusState, ConsensusAction> countVotes(
            ConsensusState state, long nowNanos) {
        if (state.role() instanceof ConsensusRole.PreCandidate role
                && isMajority(state, role.votes())) {
            return Decision.of(startElection(state, false, nowNanos));
        }
        boolean voteSynced =
                state.persistQueue().durableHardState().equals(state.hardState())
                        || !state.safeguards().persistFirst();
        if (state.role() instanceof ConsensusRole.Candidate role
                && isMajority(state, role.votes())
                && voteSynced) {
            return Decision.of(becomeLeader(state, nowNanos));
        }
        return Decision.of(state);
    }

    /** Adopts a newer term; a leader or candidate of an older term becomes a follower. */
    static Decision<ConsensusState, ConsensusAction> adoptTerm(
            ConsensusState state, long term, long nowNanos) {
        return term <= state.term()
                ? Decision.of(state)
                : Consensus.chain(
                        stepDown(state, nowNanos),
                        next -> Decision.of(next.withHardState(next.hardState().withTerm(term))));
    }

    /** Makes the member a follower and reports open proposals and the lost leadership. */
    static Decision<ConsensusState, ConsensusAction> stepDown(ConsensusState state, long nowNanos) {
        ConsensusState follower =
                state.withRole(new ConsensusRole.Follower())
                        .withElectionTimer(
                                state.electionTimer().withoutLeader().withRandomTimeout(nowNanos));
        List<ConsensusAction> actions = new ArrayList<>();
        state.leaderRole()
                .ifPresent(
                        leader -> {
                            leader.proposals().values().stream()
                                    .sorted()
                                    .map(ConsensusAction.ProposalOutcomeUnknown::new)
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
    private static boolean mayStartElection(ConsensusState state) {
        long committed = Math.max(state.commitIndex(), state.log().baseIndex());
        boolean committedVoter =
                state.log()
                        .membershipAt(committed)
                        .member(state.self())
                        .filter(Member::voter)
                        .isPresent();
        return !state.hardState().recovering()
                && !state.resigned()
                && (state.isVoter() || committedVoter);
    }

    private static boolean isLeaderActive(
            ConsensusState state, ConsensusMessage.VoteRequest request, long nowNanos) {
        boolean recentContact =
                nowNanos - state.electionTimer().lastContactNanos()
                        < ConsensusTimings.MIN_ELECTION_TIMEOUT_NANOS;
        return !request.transfer() && (recentContact || state.leaderRole().isPresent());
    }

    /**
     * Returns whether a candidate that this member voted for may just have become the leader. Its
     * first message can be delayed by pauses of either process, and another election would depose
     * it before it has begun to lead.
     */
    private static boolean isElectionOpen(ConsensusState state, long nowNanos) {
        return state.electionTimer()
                .voteNanos()
                .filter(vote -> nowNanos - vote < ConsensusTimings.MIN_ELECTION_TIMEOUT_NANOS)
                .isPresent();
    }

    private static ConsensusMessage rejection(
            ConsensusState state, ConsensusMessage.VoteRequest request) {
        return new ConsensusMessage.VoteReply(state.term(), false, request.preVote());
    }

    private static ConsensusState castVote(
            ConsensusState state,
            HostId from,
            ConsensusMessage.VoteRequest request,
            boolean logUpToDate,
            long nowNanos) {
        boolean granted =
                logUpToDate
                        && state.hardState().vote().map(request.candidate()::equals).orElse(true);
        ConsensusMessage reply = new ConsensusMessage.VoteReply(state.term(), granted, false);
        return granted
                ? state.withHardState(state.hardState().withVote(request.candidate()))
                        .withElectionTimer(
                                state.electionTimer()
                                        .withVote(nowNanos)
                                        .withRandomTimeout(nowNanos))
                        .withDeferred(from, reply)
                : state.withDeferred(from, reply);
    }

    private static ConsensusState startElection(
            ConsensusState state, boolean transfer, long nowNanos) {
        HardState hardState = state.hardState().withTerm(state.term() + 1).withVote(state.self());
        ConsensusState candidate =
                state.withHardState(hardState)
                        .withRole(new ConsensusRole.Candidate(Set.of(state.self())))
                        .withElectionTimer(
                                state.electionTimer()
                                        .withoutLeader()
                                        .withVote(nowNanos)
                                        .withRandomTimeout(nowNanos));
        ConsensusMessage request = voteRequest(candidate, false, transfer);
        for (HostId host : otherVoters(state)) {
            candidate = candidate.withDeferred(host, request);
        }
        return candidate;
    }

    private static ConsensusState becomeLeader(ConsensusState state, long nowNanos) {
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
                        nowNanos + ConsensusTimings.HEARTBEAT_INTERVAL_NANOS,
                        progress,
                        Map.of(),
                        Map.of(),
                        Optional.empty());
        return state.withRole(role)
                .withElectionTimer(state.electionTimer().withContact(state.self(), nowNanos))
                .withLog(state.log().withAppended(state.term(), new LogContent.EmptyContent()));
    }

    private static ConsensusMessage voteRequest(
            ConsensusState state, boolean preVote, boolean transfer) {
        long term = preVote ? state.term() + 1 : state.term();
        return new ConsensusMessage.VoteRequest(
                term, state.self(), state.log().lastPosition(), preVote, transfer);
    }

    private static List<HostId> otherVoters(ConsensusState state) {
        return state.membership().voters().stream()
                .map(Member::host)
                .filter(host -> !host.equals(state.self()))
                .toList();
    }

    private static boolean isMajority(ConsensusState state, Set<HostId> votes) {
        long count =
                state.membership().voters().stream()
                        .filter(member -> votes.contains(member.host()))
                        .count();
        return count >= state.membership().majoritySize();
    }

    private static Set<HostId> withVote(Set<HostId> votes, HostId from) {
        Set<HostId> updatedVotes = new HashSet<>(votes);
        updatedVotes.add(from);
        return updatedVotes;
    }
}
