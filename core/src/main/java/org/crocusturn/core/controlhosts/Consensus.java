package org.crocusturn.core.controlhosts;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.stream.Collectors;
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
        decision = chain(decision, s -> Elections.tally(s, nowNanos));
        decision = chain(decision, s -> Commits.settle(s, nowNanos));
        decision = chain(decision, s -> Transfers.advance(s, nowNanos));
        decision = chain(decision, s -> Replication.sendNew(s, nowNanos));
        return chain(decision, Persistence::finish);
    }

    /**
     * Returns whether this member holds the leader lease: a majority has acknowledged it so
     * recently that no other leader can have been elected.
     */
    public static boolean leaderLeaseValid(ConsensusState state, long nowNanos) {
        return Leases.valid(state, nowNanos);
    }

    /**
     * Returns whether a majority has acknowledged messages that this leader sent after the given
     * time. If so, this member has every entry that any leader committed before that time.
     */
    public static boolean confirmedSince(ConsensusState state, long sinceNanos, long nowNanos) {
        return state.leading()
                .filter(ConsensusRole.Leader::established)
                .filter(leader -> Leases.contactNanos(state, leader, nowNanos) - sinceNanos > 0)
                .isPresent();
    }

    /** Returns the members that have acknowledged nothing to the leader for the given time. */
    public static Set<HostId> silent(ConsensusState state, long silenceNanos, long nowNanos) {
        return members(state, p -> nowNanos - p.ackedNanos() >= silenceNanos);
    }

    /** Returns the members whose log has caught up with the leader's commit index. */
    public static Set<HostId> ready(ConsensusState state) {
        return members(
                state, p -> p.counted() && p.match() > 0 && p.match() >= state.commitIndex());
    }

    private static Set<HostId> members(ConsensusState state, Predicate<Progress> test) {
        return state.leading().stream()
                .flatMap(leader -> leader.progress().entrySet().stream())
                .filter(e -> test.test(e.getValue()))
                .map(Map.Entry::getKey)
                .collect(Collectors.toSet());
    }

    /** Returns the monotonic time at which the next tick is due, in nanoseconds. */
    public static long nextTickNanos(ConsensusState state) {
        return state.leading()
                .map(ConsensusRole.Leader::heartbeatNanos)
                .orElse(state.timing().deadlineNanos());
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
                    state.withPersists(state.persists().withDurable(persisted.sequence())));
        } else if (input instanceof ConsensusInput.Propose propose) {
            return Proposals.propose(state, propose, nowNanos);
        } else if (input instanceof ConsensusInput.ChangeMembership change) {
            return MembershipChanges.propose(state, change, nowNanos);
        } else if (input instanceof ConsensusInput.SnapshotTaken taken) {
            return Decision.of(Commits.withSnapshot(state, taken));
        } else if (input instanceof ConsensusInput.TransferRequested) {
            return Decision.of(Transfers.begin(state, nowNanos));
        }
        return state.leading().isPresent()
                ? Replication.tick(state, nowNanos)
                : Elections.tick(state, nowNanos);
    }

    private static Decision<ConsensusState, ConsensusAction> receive(
            ConsensusState state, ConsensusInput.Received received, long nowNanos) {
        ConsensusMessage message = received.message();
        if (message instanceof ConsensusMessage.VoteRequest request) {
            return Elections.request(state, received.from(), request, nowNanos);
        } else if (message instanceof ConsensusMessage.VoteReply reply) {
            return Elections.reply(state, received.from(), reply, nowNanos);
        } else if (message instanceof ConsensusMessage.AppendRequest request) {
            return Following.append(state, received.from(), request, nowNanos);
        } else if (message instanceof ConsensusMessage.AppendReply reply) {
            return Replication.reply(state, received.from(), reply, nowNanos);
        } else if (message instanceof ConsensusMessage.InstallSnapshot install) {
            return Following.install(state, received.from(), install, nowNanos);
        } else if (message instanceof ConsensusMessage.SnapshotReply reply) {
            return Replication.snapshotReply(state, received.from(), reply, nowNanos);
        } else if (message instanceof ConsensusMessage.TransferLeadership transfer) {
            return Elections.takeOver(state, transfer, nowNanos);
        } else if (message instanceof ConsensusMessage.RecoveryRequest request) {
            return Recoveries.request(state, received.from(), request, nowNanos);
        } else if (message instanceof ConsensusMessage.RecoveryReply reply) {
            return Decision.of(Recoveries.reply(state, reply));
        }
        throw new IllegalArgumentException("message " + message + " has no handler");
    }

    /** Returns the leader role if this member leads the given term. */
    static Optional<ConsensusRole.Leader> leadingIn(ConsensusState state, long term) {
        return term == state.term() ? state.leading() : Optional.empty();
    }
}
