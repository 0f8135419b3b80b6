package org.crocusturn.core.controlhosts;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.crocusturn.core.Decision;
import org.crocusturn.core.HostId;

/**
 * Decides how a member of the consensus group reacts to messages, requests and the passing of time.
 *
 * <p>All methods are pure. Times are monotonic nanoseconds of the member's own clock. The caller
 * executes the actions of a step in order before it takes the next step; persists may be confirmed
 * later.
 */
public final class Consensus {
    private Consensus() {}

    /**
     * Returns the state after an input and the actions to execute.
     *
     * @param state state before the input
     * @param input the event to process
     * @param nowNanos time of the input
     */
    public static Decision<ConsensusState, ConsensusAction> step(
            ConsensusState state, ConsensusInput input, long nowNanos) {
        Objects.requireNonNull(state, "state");
        Objects.requireNonNull(input, "input");
        Decision<ConsensusState, ConsensusAction> decision = dispatch(state, input, nowNanos);
        decision = chain(decision, s -> Elections.countVotes(s, nowNanos));
        decision = chain(decision, s -> Commits.update(s, nowNanos));
        decision = chain(decision, s -> LeadershipTransfers.advance(s, nowNanos));
        decision = chain(decision, s -> LeaderReplication.sendUnsentEntries(s, nowNanos));
        return chain(decision, Persistence::finish);
    }

    /**
     * Returns whether this member holds the leader lease: a majority has acknowledged it so
     * recently that no other leader can have been elected.
     */
    public static boolean isLeaderLeaseValid(ConsensusState state, long nowNanos) {
        return LeaderQuorum.isLeaseValid(state, nowNanos);
    }

    /**
     * Returns whether a majority has acknowledged messages that this leader sent after the given
     * time. If so, this member has every entry that any leader committed before that time.
     */
    public static boolean isLeadershipConfirmedSince(
            ConsensusState state, long sinceNanos, long nowNanos) {
        return state.leaderRole()
                .filter(ConsensusRole.Leader::established)
                .filter(
                        leader ->
                                LeaderQuorum.lastContactNanos(state, leader, nowNanos) - sinceNanos
                                        > 0)
                .isPresent();
    }

    /** Returns the members that have acknowledged nothing to the leader for the given time. */
    public static Set<HostId> silentMembers(
            ConsensusState state, long silenceNanos, long nowNanos) {
        return membersWith(state, p -> nowNanos - p.ackedNanos() >= silenceNanos);
    }

    /**
     * Returns the members that a learner may replace: those that have been silent for the given
     * time, and voters that do not count because they are about to stop or lost their log.
     */
    public static Set<HostId> replaceableMembers(
            ConsensusState state, long silenceNanos, long nowNanos) {
        Set<HostId> uncounted = membersWith(state, p -> !p.counted());
        return Stream.concat(
                        silentMembers(state, silenceNanos, nowNanos).stream(),
                        state.membership().voters().stream()
                                .map(Member::host)
                                .filter(uncounted::contains))
                .collect(Collectors.toSet());
    }

    /** Returns the members whose log has caught up with the leader's commit index. */
    public static Set<HostId> caughtUpMembers(ConsensusState state) {
        return membersWith(
                state,
                p -> p.counted() && p.matchIndex() > 0 && p.matchIndex() >= state.commitIndex());
    }

    /**
     * Returns whether a membership change is not committed yet, so that no other one may follow.
     */
    public static boolean isMembershipChanging(ConsensusState state) {
        return state.log().membershipIndex() > state.commitIndex();
    }

    private static Set<HostId> membersWith(ConsensusState state, Predicate<Progress> test) {
        return state.leaderRole().stream()
                .flatMap(leader -> leader.progress().entrySet().stream())
                .filter(e -> test.test(e.getValue()))
                .map(Map.Entry::getKey)
                .collect(Collectors.toSet());
    }

    /** Returns the monotonic time at which the next tick is due, in nanoseconds. */
    public static long nextTickNanos(ConsensusState state) {
        return state.leaderRole()
                .map(ConsensusRole.Leader::heartbeatNanos)
                .orElse(state.electionTimer().deadlineNanos());
    }

    static Decision<ConsensusState, ConsensusAction> chain(
            Decision<ConsensusState, ConsensusAction> first,
            Function<ConsensusState, Decision<ConsensusState, ConsensusAction>> next) {
        return first.then(next.apply(first.state()));
    }

    private static Decision<ConsensusState, ConsensusAction> dispatch(
            ConsensusState state, ConsensusInput input, long nowNanos) {
        if (input instanceof ConsensusInput.Received received) {
            return receive(state, received, nowNanos);
        } else if (input instanceof ConsensusInput.Persisted persisted) {
            return Decision.of(
                    state.withPersistQueue(
                            state.persistQueue().withConfirmed(persisted.sequence())));
        } else if (input instanceof ConsensusInput.Propose propose) {
            return Proposals.propose(state, propose, nowNanos);
        } else if (input instanceof ConsensusInput.ChangeMembership change) {
            return MembershipChanges.propose(state, change, nowNanos);
        } else if (input instanceof ConsensusInput.SnapshotTaken taken) {
            return Decision.of(Commits.withSnapshot(state, taken));
        } else if (input instanceof ConsensusInput.ApplyPaused pause) {
            return Decision.of(state.withApplyPaused(pause.paused()));
        } else if (input instanceof ConsensusInput.TransferRequested) {
            return Decision.of(LeadershipTransfers.begin(state, nowNanos));
        } else if (input instanceof ConsensusInput.ResignRequested) {
            return Decision.of(state.withResigned());
        }
        return state.leaderRole().isPresent()
                ? LeaderReplication.tick(state, nowNanos)
                : Elections.tick(state, nowNanos);
    }

    private static Decision<ConsensusState, ConsensusAction> receive(
            ConsensusState state, ConsensusInput.Received received, long nowNanos) {
        ConsensusMessage message = received.message();
        if (message instanceof ConsensusMessage.VoteRequest request) {
            return Elections.onVoteRequest(state, received.from(), request, nowNanos);
        } else if (message instanceof ConsensusMessage.VoteReply reply) {
            return Elections.onVoteReply(state, received.from(), reply, nowNanos);
        } else if (message instanceof ConsensusMessage.AppendRequest request) {
            return FollowerReplication.onAppendRequest(state, received.from(), request, nowNanos);
        } else if (message instanceof ConsensusMessage.AppendReply reply) {
            return LeaderReplication.onAppendReply(state, received.from(), reply, nowNanos);
        } else if (message instanceof ConsensusMessage.InstallSnapshot install) {
            return FollowerReplication.onInstallSnapshot(state, received.from(), install, nowNanos);
        } else if (message instanceof ConsensusMessage.SnapshotReply reply) {
            return LeaderReplication.onSnapshotReply(state, received.from(), reply, nowNanos);
        } else if (message instanceof ConsensusMessage.TransferLeadership transfer) {
            return Elections.onTransferLeadership(state, transfer, nowNanos);
        } else if (message instanceof ConsensusMessage.RecoveryRequest request) {
            return Recoveries.onRecoveryRequest(state, received.from(), request, nowNanos);
        } else if (message instanceof ConsensusMessage.RecoveryReply reply) {
            return Decision.of(Recoveries.onRecoveryReply(state, reply));
        }
        throw new IllegalArgumentException("message " + message + " has no handler");
    }

    /** Returns the leader role if this member leads the given term. */
    static Optional<ConsensusRole.Leader> leaderInTerm(ConsensusState state, long term) {
        return term == state.term() ? state.leaderRole() : Optional.empty();
    }
}
