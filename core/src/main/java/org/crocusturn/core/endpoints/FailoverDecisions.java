package org.crocusturn.core.endpoints;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.crocusturn.core.Decision;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.LogPosition;
import org.crocusturn.core.callers.Role;
import org.crocusturn.core.operators.ControlCommand;
import org.crocusturn.core.operators.ControlCommand.BeginFailover;
import org.crocusturn.core.operators.ControlCommand.CompletePromotion;

/**
 * Decides failovers and planned switchovers of one group. Pure and thread-safe; each step is linear
 * in the number of copies.
 *
 * <p>Each term has at most one candidate: a leader that finds a term without a primary, or whose
 * candidate does not respond, begins the next term. Two copies are therefore never primary of the
 * same term.
 */
public final class FailoverDecisions {
    static final long REPEAT_NANOS = Duration.ofMillis(500).toNanos();
    static final long PROPOSAL_REPEAT_NANOS = Duration.ofSeconds(1).toNanos();

    /** Minimum interval between Follow commands to a confirmed replica that does not replicate. */
    static final long FOLLOW_REPEAT_NANOS = Duration.ofSeconds(2).toNanos();

    /** Maximum time that a planned switchover holds writes back until a replica has caught up. */
    static final long HOLD_NANOS = Duration.ofSeconds(2).toNanos();

    /** Maximum time that a planned switchover waits for fenced copies beyond the quorum. */
    static final long ALL_FENCES_NANOS = Duration.ofSeconds(1).toNanos();

    static final long PROMOTE_NANOS = Duration.ofSeconds(2).toNanos();

    /** Delay before retrying a switchover that resulted in the same primary. */
    static final long SWITCHOVER_PAUSE_NANOS = Duration.ofSeconds(1).toNanos();

    /**
     * Maximum time that the first term waits for copies beyond the quorum, so that primaries are
     * distributed over the endpoints.
     */
    static final long FIRST_TERM_NANOS = Duration.ofSeconds(2).toNanos();

    /**
     * Minimum time that a group is healthy before its primary moves to the preferred copy. Prevents
     * primaries from moving back each time to an endpoint that fails repeatedly.
     */
    static final long PREFERENCE_NANOS = Duration.ofSeconds(30).toNanos();

    private FailoverDecisions() {}

    /** Advances the failover of a group; called after each change of its view and at each tick. */
    public static Decision<GroupFailover, FailoverAction> step(
            GroupFailover state, FailoverView view, long now) {
        Decision<GroupFailover, FailoverAction> synced = sync(state, view, now);
        GroupFailover next = synced.state();
        return synced.then(
                switch (next.phase()) {
                    case HEALTHY -> healthy(next, view, now);
                    case PREPARING -> preparing(next, view, now);
                    case HOLDING -> holding(next, view, now);
                    case BEGINNING ->
                            propose(next, new BeginFailover(next.group(), next.term()), now);
                    case WAITING -> waiting(next, view, now);
                    case FENCING -> fencing(next, view, now);
                    case PROMOTING -> promoting(next, view, now);
                    case COMPLETING -> completing(next, view, now);
                });
    }

    /** Applies the result of an endpoint command and advances the failover. */
    public static Decision<GroupFailover, FailoverAction> finished(
            GroupFailover state, EndpointCommandResult result, FailoverView view, long now) {
        return step(
                result.status().map(s -> confirmed(state, result.command(), s, view)).orElse(state),
                view,
                now);
    }

    private static GroupFailover confirmed(
            GroupFailover state, EndpointCommand command, CopyStatus status, FailoverView view) {
        if (command instanceof EndpointCommand.Follow follow) {
            boolean current =
                    follow.term() == view.group().term() && status.term() == follow.term();
            return current && state.phase() == FailoverPhase.HEALTHY
                    ? state.withFollowing(command.endpoint(), true)
                    : state;
        }
        boolean fence = command instanceof EndpointCommand.Fence;
        return fence && state.phase() == FailoverPhase.FENCING && status.term() == state.term()
                ? state.withFenced(command.endpoint(), status.position())
                : state;
    }

    // Aligns the phase with the replicated group record, which an earlier leader may have written.
    private static Decision<GroupFailover, FailoverAction> sync(
            GroupFailover state, FailoverView view, long now) {
        long term = view.group().term();
        boolean under = term > 0 && view.group().primary().isEmpty();
        boolean begun = state.phase().compareTo(FailoverPhase.BEGINNING) >= 0;
        if (under && begun && state.term() == term) {
            return state.phase() == FailoverPhase.BEGINNING
                    ? Decision.of(state.withPhase(FailoverPhase.WAITING, term, now))
                    : Decision.of(state);
        }
        if (under && (!begun || state.term() < term)) {
            return begin(
                    state,
                    view,
                    now,
                    false,
                    "an earlier leader did not complete the failover to term " + term);
        }
        if (!under && begun && state.term() <= term) {
            return Decision.of(
                    state.withPhase(FailoverPhase.HEALTHY, 0, now),
                    note(
                            state,
                            "primary is "
                                    + view.group().primary().map(EndpointId::value).orElse("none")
                                    + " at term "
                                    + term));
        }
        return Decision.of(state);
    }

    private static Decision<GroupFailover, FailoverAction> healthy(
            GroupFailover state, FailoverView view, long now) {
        if (view.group().primary().isEmpty()) {
            boolean due = view.allReachable() || now - state.sinceNanos() >= FIRST_TERM_NANOS;
            return view.hasQuorum() && due
                    ? begin(
                            state,
                            view,
                            now,
                            true,
                            "enough copies are reachable for the first term")
                    : Decision.of(state);
        }
        Optional<String> failure = primaryFailure(view);
        if (failure.isPresent()) {
            return view.hasQuorum()
                    ? begin(state, view, now, false, failure.get())
                    : Decision.of(state);
        }
        if (view.dropped()) {
            return hold(state, now, "the leaseholder has dropped the term");
        }
        long healthy = now - state.sinceNanos();
        if (healthy >= SWITCHOVER_PAUSE_NANOS && mustSwitchOver(view)) {
            return prepare(state, view, now, "is out of service");
        }
        if (healthy >= PREFERENCE_NANOS && shouldSwitchOver(view)) {
            return prepare(state, view, now, "is not the preferred copy");
        }
        return direct(state, view, now);
    }

    private static Decision<GroupFailover, FailoverAction> prepare(
            GroupFailover state, FailoverView view, long now, String reason) {
        return Decision.of(
                state.withPhase(FailoverPhase.PREPARING, 0, now),
                note(state, "primary " + view.primary().get().id() + " " + reason));
    }

    private static boolean mustSwitchOver(FailoverView view) {
        return view.primary().filter(p -> !p.inService()).isPresent()
                && view.successor().isPresent()
                && view.hasQuorum();
    }

    /** Rebalances primaries after an endpoint has returned to service. */
    private static boolean shouldSwitchOver(FailoverView view) {
        return view.allReachable()
                && view.preferred()
                        .filter(p -> !view.group().primary().equals(Optional.of(p.id())))
                        .filter(view::isNear)
                        .isPresent();
    }

    private static Optional<String> primaryFailure(FailoverView view) {
        Optional<CopyHealth> primary = view.primary();
        if (primary.isEmpty()) {
            return Optional.of("primary is not announced");
        }
        CopyHealth copy = primary.get();
        if (copy.failure().isPresent()) {
            return copy.failure().map(f -> "primary " + copy.id() + " failed, " + f);
        }
        if (copy.term() > view.group().term()) {
            return Optional.of("primary " + copy.id() + " is fenced at term " + copy.term());
        }
        boolean lost =
                copy.status().isPresent() && copy.position().index() < view.group().startIndex();
        return lost
                ? Optional.of("primary " + copy.id() + " lost log entries after " + copy.position())
                : Optional.empty();
    }

    // Sends the primary and the replicas their roles until they confirm them.
    private static Decision<GroupFailover, FailoverAction> direct(
            GroupFailover state, FailoverView view, long now) {
        CopyHealth primary = view.primary().get();
        long term = view.group().term();
        Decision<GroupFailover, FailoverAction> decision = Decision.of(state);
        for (CopyHealth copy : view.copies()) {
            GroupFailover current = decision.state();
            if (copy.failure().isPresent()) {
                decision = decision.then(Decision.of(current.withFollowing(copy.id(), false)));
            } else if (copy == primary) {
                boolean serves = hasRole(copy, Role.PRIMARY, term);
                decision =
                        copy.status().isEmpty() || serves
                                ? decision
                                : decision.then(
                                        order(current, promote(current, copy.id(), term), now));
            } else if (needsFollow(current, copy, term, now)) {
                decision =
                        decision.then(
                                order(
                                        current,
                                        new EndpointCommand.Follow(
                                                copy.id(),
                                                state.group().database(),
                                                term,
                                                primary.endpoint().statusAddress()),
                                        now));
            }
        }
        return decision;
    }

    private static boolean needsFollow(GroupFailover state, CopyHealth copy, long term, long now) {
        if (!state.following().contains(copy.id())) {
            return true;
        }
        boolean follows =
                hasRole(copy, Role.REPLICA, term)
                        && copy.status().get().lagMillis() != Long.MAX_VALUE;
        return !follows && state.isOrderDue(copy.id(), now, FOLLOW_REPEAT_NANOS);
    }

    private static boolean hasRole(CopyHealth copy, Role role, long term) {
        return copy.status().filter(s -> s.role() == role && s.term() == term).isPresent();
    }

    private static Decision<GroupFailover, FailoverAction> preparing(
            GroupFailover state, FailoverView view, long now) {
        if (primaryFailure(view).isPresent()
                || view.dropped()
                || !(mustSwitchOver(view) || shouldSwitchOver(view))) {
            return step(state.withPhase(FailoverPhase.HEALTHY, 0, now), view, now);
        }
        CopyHealth successor = view.successor().get();
        return view.isNear(successor)
                ? hold(state, now, successor.id() + " has nearly caught up")
                : direct(state, view, now);
    }

    private static Decision<GroupFailover, FailoverAction> hold(
            GroupFailover state, long now, String reason) {
        return Decision.of(
                state.withPhase(FailoverPhase.HOLDING, 0, now),
                note(state, "writes are held back, " + reason));
    }

    private static Decision<GroupFailover, FailoverAction> holding(
            GroupFailover state, FailoverView view, long now) {
        Optional<String> failure = primaryFailure(view);
        if (!view.hasQuorum()) {
            return Decision.of(state);
        }
        if (failure.isPresent()) {
            return begin(state, view, now, false, failure.get());
        }
        GroupFailover next = view.silenced() ? state.withSilenced(now) : state;
        if (next.silencedNanos().isPresent() && caughtUp(next, view)) {
            return begin(next, view, now, true, "a replica has caught up");
        }
        return now - next.sinceNanos() >= HOLD_NANOS
                ? begin(next, view, now, true, "no replica caught up in time")
                : Decision.of(next);
    }

    // Ignores statuses received before acknowledgements stopped, as they may miss later writes.
    private static boolean caughtUp(GroupFailover state, FailoverView view) {
        long since = state.silencedNanos().getAsLong();
        CopyHealth primary = view.primary().get();
        return primary.seenNanos() > since
                && view.successor()
                        .filter(s -> s.position().compareTo(primary.position()) >= 0)
                        .isPresent();
    }

    private static Decision<GroupFailover, FailoverAction> begin(
            GroupFailover state, FailoverView view, long now, boolean planned, String reason) {
        GroupFailover next =
                state.withAttempt(planned, view.group().term() + 1, now).withProposed(now);
        return new Decision<>(
                next,
                List.of(
                        note(state, "failover to term " + next.term() + " begins, " + reason),
                        new FailoverAction.Propose(new BeginFailover(state.group(), next.term()))));
    }

    private static Decision<GroupFailover, FailoverAction> waiting(
            GroupFailover state, FailoverView view, long now) {
        return view.silenced()
                ? fencing(state.withPhase(FailoverPhase.FENCING, state.term(), now), view, now)
                : Decision.of(state);
    }

    private static Decision<GroupFailover, FailoverAction> fencing(
            GroupFailover state, FailoverView view, long now) {
        if (view.copies().stream().anyMatch(c -> c.reachable() && c.term() > state.term())) {
            return begin(state, view, now, false, "a copy knows a higher term");
        }
        GroupFailover seen = state;
        for (CopyHealth copy : view.copies()) {
            boolean fenced = copy.reachable() && copy.term() == state.term();
            seen = fenced ? seen.withFenced(copy.id(), copy.position()) : seen;
        }
        long expected = view.copies().stream().filter(CopyHealth::reachable).count();
        boolean patient =
                seen.planned()
                        && seen.fenced().size() < expected
                        && now - seen.sinceNanos() < ALL_FENCES_NANOS;
        if (seen.fenced().size() >= view.quorum() && !patient) {
            return choose(seen, view, now);
        }
        Decision<GroupFailover, FailoverAction> decision = Decision.of(seen);
        for (CopyHealth copy : view.copies()) {
            if (!seen.fenced().containsKey(copy.id())) {
                EndpointCommand fence =
                        new EndpointCommand.Fence(copy.id(), seen.group().database(), seen.term());
                decision = decision.then(order(decision.state(), fence, now));
            }
        }
        return decision;
    }

    private static Decision<GroupFailover, FailoverAction> choose(
            GroupFailover state, FailoverView view, long now) {
        Function<CopyHealth, LogPosition> position = c -> state.fenced().get(c.id());
        CopyHealth best =
                view.copies().stream()
                        .filter(c -> state.fenced().containsKey(c.id()))
                        .max(
                                Comparator.comparing(position)
                                        .thenComparing(CopyHealth::reachable)
                                        .thenComparing(CopyHealth::inService)
                                        .thenComparing(view::score))
                        .orElseThrow();
        LogPosition start = position.apply(best);
        GroupFailover next = state.withCandidate(best.id(), start.index(), now);
        return Decision.of(
                        next,
                        note(
                                state,
                                best.id()
                                        + " is promoted, its position "
                                        + start
                                        + " is the highest of "
                                        + state.fenced().size()
                                        + " fenced copies"))
                .then(order(next, promote(next, best.id(), next.term()), now));
    }

    private static Decision<GroupFailover, FailoverAction> promoting(
            GroupFailover state, FailoverView view, long now) {
        EndpointId candidate = state.candidate().get();
        Optional<CopyHealth> copy = view.copy(candidate);
        if (copy.filter(c -> hasRole(c, Role.PRIMARY, state.term())).isPresent()) {
            return complete(state.withPhase(FailoverPhase.COMPLETING, state.term(), now), now);
        }
        boolean gone = copy.isEmpty() || copy.get().failure().isPresent();
        if (gone || now - state.sinceNanos() >= PROMOTE_NANOS) {
            return view.hasQuorum()
                    ? begin(state, view, now, false, candidate + " did not become primary")
                    : Decision.of(state);
        }
        return order(state, promote(state, candidate, state.term()), now);
    }

    private static Decision<GroupFailover, FailoverAction> completing(
            GroupFailover state, FailoverView view, long now) {
        EndpointId candidate = state.candidate().get();
        return view.copy(candidate).isEmpty()
                ? begin(state, view, now, false, candidate + " is no longer announced")
                : complete(state, now);
    }

    private static Decision<GroupFailover, FailoverAction> complete(GroupFailover state, long now) {
        return propose(
                state,
                new CompletePromotion(
                        state.group(), state.term(), state.candidate().get(), state.startIndex()),
                now);
    }

    private static EndpointCommand promote(GroupFailover state, EndpointId endpoint, long term) {
        return new EndpointCommand.Promote(endpoint, state.group().database(), term);
    }

    private static Decision<GroupFailover, FailoverAction> propose(
            GroupFailover state, ControlCommand command, long now) {
        boolean due =
                state.proposedNanos().isEmpty()
                        || now - state.proposedNanos().getAsLong() >= PROPOSAL_REPEAT_NANOS;
        return due
                ? Decision.of(state.withProposed(now), new FailoverAction.Propose(command))
                : Decision.of(state);
    }

    private static Decision<GroupFailover, FailoverAction> order(
            GroupFailover state, EndpointCommand command, long now) {
        return state.isOrderDue(command.endpoint(), now, REPEAT_NANOS)
                ? Decision.of(
                        state.withOrdered(command.endpoint(), now),
                        new FailoverAction.Order(command))
                : Decision.of(state);
    }

    private static FailoverAction note(GroupFailover state, String text) {
        return new FailoverAction.Note("endpoints: group " + state.group() + ": " + text + ".");
    }
}
