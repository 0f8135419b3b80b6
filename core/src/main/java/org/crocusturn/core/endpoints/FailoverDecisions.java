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
    static final long COMMAND_REPEAT_NANOS = Duration.ofMillis(500).toNanos();
    static final long PROPOSAL_REPEAT_NANOS = Duration.ofSeconds(1).toNanos();

    /** Minimum interval between Follow commands to a confirmed replica that does not replicate. */
    static final long FOLLOW_REPEAT_NANOS = Duration.ofSeconds(2).toNanos();

    /** Maximum time that a planned switchover holds writes back until a replica has caught up. */
    static final long MAX_HOLD_NANOS = Duration.ofSeconds(2).toNanos();

    /** Maximum time that a planned switchover waits for fenced copies beyond the quorum. */
    static final long EXTRA_FENCES_WAIT_NANOS = Duration.ofSeconds(1).toNanos();

    static final long PROMOTION_TIMEOUT_NANOS = Duration.ofSeconds(2).toNanos();

    /** Delay before retrying a switchover that resulted in the same primary. */
    static final long SWITCHOVER_RETRY_NANOS = Duration.ofSeconds(1).toNanos();

    /**
     * Maximum time that the first term waits for copies beyond the quorum, so that primaries are
     * distributed over the endpoints.
     */
    static final long FIRST_TERM_WAIT_NANOS = Duration.ofSeconds(2).toNanos();

    /**
     * Minimum time that a group is healthy before its primary moves to the preferred copy. Prevents
     * primaries from moving back each time to an endpoint that fails repeatedly.
     */
    static final long PREFERRED_SWITCHOVER_DELAY_NANOS = Duration.ofSeconds(30).toNanos();

    private FailoverDecisions() {}

    /** Advances the failover of a group; called after each change of its view and at each tick. */
    public static Decision<FailoverState, FailoverAction> step(
            FailoverState state, FailoverView view, long nowNanos) {
        Decision<FailoverState, FailoverAction> synced = sync(state, view, nowNanos);
        FailoverState next = synced.state();
        return synced.then(
                switch (next.phase()) {
                    case HEALTHY -> healthy(next, view, nowNanos);
                    case PREPARING -> preparing(next, view, nowNanos);
                    case HOLDING -> holding(next, view, nowNanos);
                    case BEGINNING ->
                            propose(next, new BeginFailover(next.group(), next.term()), nowNanos);
                    case WAITING -> waiting(next, view, nowNanos);
                    case FENCING -> fencing(next, view, nowNanos);
                    case PROMOTING -> promoting(next, view, nowNanos);
                    case COMPLETING -> completing(next, view, nowNanos);
                });
    }

    /** Applies the result of an endpoint command and advances the failover. */
    public static Decision<FailoverState, FailoverAction> commandFinished(
            FailoverState state, EndpointCommandResult result, FailoverView view, long nowNanos) {
        return step(
                result.status()
                        .map(s -> withConfirmation(state, result.command(), s, view))
                        .orElse(state),
                view,
                nowNanos);
    }

    private static FailoverState withConfirmation(
            FailoverState state, EndpointCommand command, CopyStatus status, FailoverView view) {
        if (command instanceof EndpointCommand.Follow follow) {
            boolean current =
                    follow.term() == view.group().term() && status.term() == follow.term();
            return current && state.phase() == FailoverPhase.HEALTHY
                    ? state.withFollower(command.endpoint(), true)
                    : state;
        }
        boolean fence = command instanceof EndpointCommand.Fence;
        return fence && state.phase() == FailoverPhase.FENCING && status.term() == state.term()
                ? state.withFenced(command.endpoint(), status.position())
                : state;
    }

    // Aligns the phase with the replicated group record, which an earlier leader may have written.
    private static Decision<FailoverState, FailoverAction> sync(
            FailoverState state, FailoverView view, long nowNanos) {
        long term = view.group().term();
        boolean withoutPrimary = term > 0 && view.group().primary().isEmpty();
        boolean inFailover = state.phase().compareTo(FailoverPhase.BEGINNING) >= 0;
        if (withoutPrimary && inFailover && state.term() == term) {
            return state.phase() == FailoverPhase.BEGINNING
                    ? Decision.of(state.withPhase(FailoverPhase.WAITING, term, nowNanos))
                    : Decision.of(state);
        }
        if (withoutPrimary && (!inFailover || state.term() < term)) {
            return begin(
                    state,
                    view,
                    nowNanos,
                    false,
                    "the failover to term " + term + " was not completed by an earlier leader");
        }
        if (!withoutPrimary && inFailover && state.term() <= term) {
            return Decision.of(
                    state.withPhase(FailoverPhase.HEALTHY, 0, nowNanos),
                    log(
                            state,
                            "primary is "
                                    + view.group().primary().map(EndpointId::value).orElse("none")
                                    + " at term "
                                    + term));
        }
        return Decision.of(state);
    }

    private static Decision<FailoverState, FailoverAction> healthy(
            FailoverState state, FailoverView view, long nowNanos) {
        if (view.group().primary().isEmpty()) {
            boolean due =
                    view.allReachable()
                            || nowNanos - state.phaseStartNanos() >= FIRST_TERM_WAIT_NANOS;
            return view.hasQuorum() && due
                    ? begin(
                            state,
                            view,
                            nowNanos,
                            true,
                            "enough copies are reachable for the first term")
                    : Decision.of(state);
        }
        Optional<String> failure = primaryFailure(view);
        if (failure.isPresent()) {
            return view.hasQuorum()
                    ? begin(state, view, nowNanos, false, failure.get())
                    : Decision.of(state);
        }
        if (view.termDropped()) {
            return holdWrites(state, nowNanos, "the leaseholder has dropped the term");
        }
        long healthyNanos = nowNanos - state.phaseStartNanos();
        if (healthyNanos >= SWITCHOVER_RETRY_NANOS && mustSwitchOver(view)) {
            return prepare(state, view, nowNanos, "is out of service");
        }
        if (healthyNanos >= PREFERRED_SWITCHOVER_DELAY_NANOS && shouldSwitchOver(view)) {
            return prepare(state, view, nowNanos, "is not the preferred copy");
        }
        return assignRoles(state, view, nowNanos);
    }

    private static Decision<FailoverState, FailoverAction> prepare(
            FailoverState state, FailoverView view, long nowNanos, String reason) {
        return Decision.of(
                state.withPhase(FailoverPhase.PREPARING, 0, nowNanos),
                log(state, "primary " + view.primary().get().id() + " " + reason));
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
                        .filter(view::isNearlyCaughtUp)
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
    private static Decision<FailoverState, FailoverAction> assignRoles(
            FailoverState state, FailoverView view, long nowNanos) {
        CopyHealth primary = view.primary().get();
        long term = view.group().term();
        Decision<FailoverState, FailoverAction> decision = Decision.of(state);
        for (CopyHealth copy : view.copies()) {
            FailoverState current = decision.state();
            if (copy.failure().isPresent()) {
                decision = decision.then(Decision.of(current.withFollower(copy.id(), false)));
            } else if (copy == primary) {
                boolean serves = hasRole(copy, Role.PRIMARY, term);
                decision =
                        copy.status().isEmpty() || serves
                                ? decision
                                : decision.then(
                                        sendIfDue(
                                                current,
                                                promoteCommand(current, copy.id(), term),
                                                nowNanos));
            } else if (needsFollow(current, copy, term, nowNanos)) {
                decision =
                        decision.then(
                                sendIfDue(
                                        current,
                                        new EndpointCommand.Follow(
                                                copy.id(),
                                                state.group().database(),
                                                term,
                                                primary.endpoint().statusAddress()),
                                        nowNanos));
            }
        }
        return decision;
    }

    private static boolean needsFollow(
            FailoverState state, CopyHealth copy, long term, long nowNanos) {
        if (!state.confirmedFollowers().contains(copy.id())) {
            return true;
        }
        boolean follows =
                hasRole(copy, Role.REPLICA, term)
                        && copy.status().get().lagMillis() != Long.MAX_VALUE;
        return !follows && state.isCommandDue(copy.id(), nowNanos, FOLLOW_REPEAT_NANOS);
    }

    private static boolean hasRole(CopyHealth copy, Role role, long term) {
        return copy.status().filter(s -> s.role() == role && s.term() == term).isPresent();
    }

    private static Decision<FailoverState, FailoverAction> preparing(
            FailoverState state, FailoverView view, long nowNanos) {
        if (primaryFailure(view).isPresent()
                || view.termDropped()
                || !(mustSwitchOver(view) || shouldSwitchOver(view))) {
            return step(state.withPhase(FailoverPhase.HEALTHY, 0, nowNanos), view, nowNanos);
        }
        CopyHealth successor = view.successor().get();
        return view.isNearlyCaughtUp(successor)
                ? holdWrites(state, nowNanos, successor.id() + " has nearly caught up")
                : assignRoles(state, view, nowNanos);
    }

    private static Decision<FailoverState, FailoverAction> holdWrites(
            FailoverState state, long nowNanos, String reason) {
        return Decision.of(
                state.withPhase(FailoverPhase.HOLDING, 0, nowNanos),
                log(state, "writes are held back, " + reason));
    }

    private static Decision<FailoverState, FailoverAction> holding(
            FailoverState state, FailoverView view, long nowNanos) {
        Optional<String> failure = primaryFailure(view);
        if (!view.hasQuorum()) {
            return Decision.of(state);
        }
        if (failure.isPresent()) {
            return begin(state, view, nowNanos, false, failure.get());
        }
        FailoverState next =
                view.acknowledgementsStopped()
                        ? state.withAcknowledgementsStopped(nowNanos)
                        : state;
        if (next.acknowledgementsStoppedNanos().isPresent() && caughtUp(next, view)) {
            return begin(next, view, nowNanos, true, "a replica has caught up");
        }
        return nowNanos - next.phaseStartNanos() >= MAX_HOLD_NANOS
                ? begin(next, view, nowNanos, true, "no replica caught up in time")
                : Decision.of(next);
    }

    // Ignores statuses received before acknowledgements stopped, as they may miss later writes.
    private static boolean caughtUp(FailoverState state, FailoverView view) {
        long since = state.acknowledgementsStoppedNanos().getAsLong();
        CopyHealth primary = view.primary().get();
        return primary.lastSeenNanos() > since
                && view.successor()
                        .filter(s -> s.position().compareTo(primary.position()) >= 0)
                        .isPresent();
    }

    private static Decision<FailoverState, FailoverAction> begin(
            FailoverState state, FailoverView view, long nowNanos, boolean planned, String reason) {
        FailoverState next =
                state.withNewTerm(planned, view.group().term() + 1, nowNanos)
                        .withProposed(nowNanos);
        return new Decision<>(
                next,
                List.of(
                        log(state, "failover to term " + next.term() + " begins, " + reason),
                        new FailoverAction.Propose(new BeginFailover(state.group(), next.term()))));
    }

    private static Decision<FailoverState, FailoverAction> waiting(
            FailoverState state, FailoverView view, long nowNanos) {
        return view.acknowledgementsStopped()
                ? fencing(
                        state.withPhase(FailoverPhase.FENCING, state.term(), nowNanos),
                        view,
                        nowNanos)
                : Decision.of(state);
    }

    private static Decision<FailoverState, FailoverAction> fencing(
            FailoverState state, FailoverView view, long nowNanos) {
        if (view.copies().stream().anyMatch(c -> c.reachable() && c.term() > state.term())) {
            return begin(state, view, nowNanos, false, "a copy knows a higher term");
        }
        FailoverState updated = state;
        for (CopyHealth copy : view.copies()) {
            boolean fenced = copy.reachable() && copy.term() == state.term();
            updated = fenced ? updated.withFenced(copy.id(), copy.position()) : updated;
        }
        long expected = view.copies().stream().filter(CopyHealth::reachable).count();
        boolean waitsForMore =
                updated.planned()
                        && updated.fenced().size() < expected
                        && nowNanos - updated.phaseStartNanos() < EXTRA_FENCES_WAIT_NANOS;
        if (updated.fenced().size() >= view.quorum() && !waitsForMore) {
            return choose(updated, view, nowNanos);
        }
        Decision<FailoverState, FailoverAction> decision = Decision.of(updated);
        for (CopyHealth copy : view.copies()) {
            if (!updated.fenced().containsKey(copy.id())) {
                EndpointCommand fence =
                        new EndpointCommand.Fence(
                                copy.id(), updated.group().database(), updated.term());
                decision = decision.then(sendIfDue(decision.state(), fence, nowNanos));
            }
        }
        return decision;
    }

    private static Decision<FailoverState, FailoverAction> choose(
            FailoverState state, FailoverView view, long nowNanos) {
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
        FailoverState next = state.withCandidate(best.id(), start.index(), nowNanos);
        return Decision.of(
                        next,
                        log(
                                state,
                                best.id()
                                        + " is promoted, its position "
                                        + start
                                        + " is the highest of "
                                        + state.fenced().size()
                                        + " fenced copies"))
                .then(sendIfDue(next, promoteCommand(next, best.id(), next.term()), nowNanos));
    }

    private static Decision<FailoverState, FailoverAction> promoting(
            FailoverState state, FailoverView view, long nowNanos) {
        EndpointId candidate = state.candidate().get();
        Optional<CopyHealth> copy = view.copy(candidate);
        if (copy.filter(c -> hasRole(c, Role.PRIMARY, state.term())).isPresent()) {
            return complete(
                    state.withPhase(FailoverPhase.COMPLETING, state.term(), nowNanos), nowNanos);
        }
        boolean unavailable = copy.isEmpty() || copy.get().failure().isPresent();
        if (unavailable || nowNanos - state.phaseStartNanos() >= PROMOTION_TIMEOUT_NANOS) {
            return view.hasQuorum()
                    ? begin(state, view, nowNanos, false, candidate + " did not become primary")
                    : Decision.of(state);
        }
        return sendIfDue(state, promoteCommand(state, candidate, state.term()), nowNanos);
    }

    private static Decision<FailoverState, FailoverAction> completing(
            FailoverState state, FailoverView view, long nowNanos) {
        EndpointId candidate = state.candidate().get();
        return view.copy(candidate).isEmpty()
                ? begin(state, view, nowNanos, false, candidate + " is no longer announced")
                : complete(state, nowNanos);
    }

    private static Decision<FailoverState, FailoverAction> complete(
            FailoverState state, long nowNanos) {
        return propose(
                state,
                new CompletePromotion(
                        state.group(), state.term(), state.candidate().get(), state.startIndex()),
                nowNanos);
    }

    private static EndpointCommand promoteCommand(
            FailoverState state, EndpointId endpoint, long term) {
        return new EndpointCommand.Promote(endpoint, state.group().database(), term);
    }

    private static Decision<FailoverState, FailoverAction> propose(
            FailoverState state, ControlCommand command, long nowNanos) {
        boolean due =
                state.proposedNanos().isEmpty()
                        || nowNanos - state.proposedNanos().getAsLong() >= PROPOSAL_REPEAT_NANOS;
        return due
                ? Decision.of(state.withProposed(nowNanos), new FailoverAction.Propose(command))
                : Decision.of(state);
    }

    private static Decision<FailoverState, FailoverAction> sendIfDue(
            FailoverState state, EndpointCommand command, long nowNanos) {
        return state.isCommandDue(command.endpoint(), nowNanos, COMMAND_REPEAT_NANOS)
                ? Decision.of(
                        state.withCommandSent(command.endpoint(), nowNanos),
                        new FailoverAction.SendCommand(command))
                : Decision.of(state);
    }

    private static FailoverAction log(FailoverState state, String text) {
        return new FailoverAction.Log("endpoints: group " + state.group() + ": " + text + ".");
    }
}
