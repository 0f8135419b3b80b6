package org.crocusturn.core.entryhosts;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.crocusturn.core.Decision;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.GroupId;
import org.crocusturn.core.controlhosts.EntryReport;
import org.crocusturn.core.controlhosts.HeldLease;
import org.crocusturn.core.endpoints.EndpointCommandResult;
import org.crocusturn.core.endpoints.FailoverPhase;
import org.crocusturn.core.endpoints.FailureDetector;
import org.crocusturn.core.endpoints.GroupFailover;
import org.crocusturn.core.operators.ControlCommand;
import org.crocusturn.core.operators.ControlCommand.ApplyConfiguration;
import org.crocusturn.core.operators.ControlCommand.RegisterEndpoint;
import org.crocusturn.core.operators.ControlCommand.RemoveEndpoint;
import org.crocusturn.core.operators.ControlCommand.ReplaceConfiguration;
import org.crocusturn.core.operators.ControlCommand.SetDataCentreDrained;
import org.crocusturn.core.operators.ControlState;
import org.crocusturn.core.operators.EndpointRecord;
import org.crocusturn.core.operators.GroupRecord;
import org.crocusturn.core.operators.PlacementKey;

/**
 * Decides what the control leader does; pure, immutable and thread-safe.
 *
 * <p>Cost of a step, besides the O(log n) of the persistent maps: a report O(its leases and demands
 * + the update); an observation O(copies on the endpoint x copies of a group); a committed lease or
 * failover command O(copies) plus, at most every 20 ms, a push of O(live hosts x size of an
 * update); another committed command O(groups x copies + endpoints) plus the push; a tick O(hosts)
 * plus O(copies) for each group in a failover, each group of a dead host and 256 or 1/32 of the
 * others. Failures that the monitor or a closed link tells are handled at once, not at a tick. A
 * group that needs another leaseholder costs O(hosts). No step costs O(hosts x groups), unless all
 * groups need a holder.
 */
public final class ControlLeader {
    /** State changes that come faster than this are pushed together. */
    static final long PUSH_NANOS = Duration.ofMillis(20).toNanos();

    /** A leaving endpoint whose announcements stopped is removed after this time. */
    static final long REMOVE_NANOS = Duration.ofSeconds(10).toNanos();

    /** Groups looked after at a tick without cause: all of a small system, 1/32 of a large one. */
    static final int GROUPS_PER_TICK = 256;

    private static final long REMOVE_REPEAT_NANOS = Duration.ofSeconds(1).toNanos();

    private final PlacementPolicy mPlacement;
    private final FailureDetector mDetector;

    private ControlLeader(PlacementPolicy placement, FailureDetector detector) {
        mPlacement = Objects.requireNonNull(placement, "placement");
        mDetector = Objects.requireNonNull(detector, "detector");
    }

    /** Creates a leader with the policies of the design. */
    public static ControlLeader standard() {
        return of(new SpreadPlacement(), FailureDetector.standard());
    }

    /** Creates a leader with given policies. */
    public static ControlLeader of(PlacementPolicy placement, FailureDetector detector) {
        return new ControlLeader(placement, detector);
    }

    /**
     * Takes an input in. Before the first {@link LeaderInput.LeadershipGained} all other inputs are
     * ignored.
     *
     * @param state state after the previous step; {@link LeaderState#decideWithoutTransaction}
     *     before the first
     * @param input what happened
     * @param nowNanos monotonic time, never less than at the previous step
     */
    public Decision<LeaderState, LeaderAction> step(
            LeaderState state, LeaderInput input, long nowNanos) {
        if (input instanceof LeaderInput.LeadershipGained gained) {
            return Decision.of(
                    LeaderState.gained(gained.term(), gained.state(), nowNanos),
                    new LeaderAction.Log(
                            "entryhosts: this host leads in term " + gained.term() + "."));
        }
        if (!state.leads()) {
            return Decision.of(state);
        }
        LeaderTurn turn =
                new LeaderTurn(state.withStepped(nowNanos), nowNanos, mPlacement, mDetector);
        handle(turn, input);
        return turn.finish();
    }

    private static void handle(LeaderTurn turn, LeaderInput input) {
        if (input instanceof LeaderInput.CommandApplied applied) {
            applied(turn, applied);
        } else if (input instanceof LeaderInput.ReportReceived received) {
            report(turn, received.report());
        } else if (input instanceof LeaderInput.EntryLinkClosed closed) {
            turn.mState =
                    turn.mState.withRegistry(turn.mState.registry().withLinkClosed(closed.host()));
            turn.mState.leases().groupsOf(closed.host()).forEach(new LeaseDecisions(turn)::check);
        } else if (input instanceof LeaderInput.Observed observed) {
            EndpointId endpoint = observed.observation().endpoint();
            turn.mState =
                    turn.mState.withFailovers(
                            turn.mState.failovers().with(observed.observation(), turn.mNow));
            groupsOf(turn, endpoint).forEach(g -> turn.failover(g, Optional.empty()));
        } else if (input instanceof LeaderInput.CommandFinished finished) {
            finished(turn, finished.result());
        } else if (input instanceof LeaderInput.AnnouncementReceived announcement) {
            announced(turn, announcement.endpoint());
        } else if (input instanceof LeaderInput.DepartureReceived departure) {
            if (turn.mState.control().endpoints().containsKey(departure.endpoint())) {
                turn.propose(new RemoveEndpoint(departure.endpoint()));
            }
        } else {
            tick(turn);
        }
    }

    private static List<GroupId> groupsOf(LeaderTurn turn, EndpointId id) {
        EndpointRecord endpoint = turn.mState.control().endpoints().get(id);
        return endpoint == null
                ? List.of()
                : endpoint.databases().stream()
                        .map(d -> GroupId.of(endpoint.service(), d.name()))
                        .toList();
    }

    private static void applied(LeaderTurn turn, LeaderInput.CommandApplied applied) {
        ControlState before = turn.mState.control();
        if (applied.version() <= before.version()) {
            return;
        }
        ControlState after = applied.state();
        turn.mState =
                turn.mState.withControl(
                        after, turn.mState.history().plus(applied.version(), applied.command()));
        Optional<GroupId> group = groupOf(applied.command());
        if (group.isPresent()) {
            sync(turn, group.get());
            return;
        }
        if (isWide(applied.command())) {
            turn.mState =
                    turn.mState
                            .withRates(turn.mState.rates().with(after.configuration()))
                            .withFailovers(turn.mState.failovers().withState(after, turn.mNow));
            before.groups().keySet().stream()
                    .filter(g -> !after.groups().containsKey(g))
                    .forEach(
                            g ->
                                    turn.mState =
                                            turn.mState.withLeases(
                                                    turn.mState.leases().withoutGroup(g)));
            groups(turn).forEach(g -> sync(turn, g));
            logPlacements(turn, before, after);
        }
    }

    private static void sync(LeaderTurn turn, GroupId id) {
        GroupRecord record = turn.mState.control().groups().get(id);
        if (record != null) {
            turn.mState =
                    turn.mState.withLeases(turn.mState.leases().withRecord(record, turn.mNow));
            turn.failover(id, Optional.empty());
            new LeaseDecisions(turn).check(id);
        }
    }

    private static Optional<GroupId> groupOf(ControlCommand command) {
        if (command instanceof ControlCommand.AssignLease assign) {
            return Optional.of(assign.group());
        }
        if (command instanceof ControlCommand.ReleaseLease release) {
            return Optional.of(release.group());
        }
        if (command instanceof ControlCommand.BeginFailover begin) {
            return Optional.of(begin.group());
        }
        return command instanceof ControlCommand.CompletePromotion complete
                ? Optional.of(complete.group())
                : Optional.empty();
    }

    private static boolean isWide(ControlCommand command) {
        return command instanceof ApplyConfiguration
                || command instanceof ReplaceConfiguration
                || command instanceof SetDataCentreDrained
                || command instanceof RegisterEndpoint
                || command instanceof RemoveEndpoint;
    }

    private static void logPlacements(LeaderTurn turn, ControlState before, ControlState after) {
        after.placements().entrySet().stream()
                .filter(e -> !before.placements().containsKey(e.getKey()))
                .sorted(Comparator.comparing(e -> e.getKey().toString()))
                .forEach(e -> turn.log(placement(after, e)));
    }

    private static String placement(ControlState state, Map.Entry<PlacementKey, String> entry) {
        PlacementKey key = entry.getKey();
        boolean chosen =
                state.configuration()
                        .workspace(key.workspace())
                        .filter(w -> w.databases().containsKey(key.service()))
                        .isPresent();
        return "operators: workspace "
                + key.workspace()
                + " is placed on "
                + key.service()
                + "/"
                + entry.getValue()
                + (chosen ? ", chosen by the operator." : ", chosen by hashing.");
    }

    private static void report(LeaderTurn turn, EntryReport report) {
        if (turn.mState.registry().isNew(report)) {
            boolean wasProved = isProved(turn, report);
            turn.mState =
                    turn.mState
                            .withRegistry(turn.mState.registry().with(report, turn.mNow))
                            .withLeases(turn.mState.leases().with(report));
            RegisteredHost host = turn.mState.registry().host(report.host()).orElseThrow();
            turn.mState =
                    turn.mState.withRates(
                            turn.mState
                                    .rates()
                                    .with(
                                            host,
                                            report.demands(),
                                            report.holdingsTerm() == turn.mState.term(),
                                            turn.mNow));
            report.leases().forEach(held -> held(turn, held));
            if (host.proved() && !wasProved) {
                LeaseDecisions leases = new LeaseDecisions(turn);
                turn.mState.leases().groupsOf(host.id()).forEach(leases::check);
            }
        }
        turn.tell(report.host());
    }

    private static boolean isProved(LeaderTurn turn, EntryReport report) {
        return turn.mState
                .registry()
                .host(report.host())
                .filter(h -> h.incarnation() == report.incarnation() && h.proved())
                .isPresent();
    }

    private static void held(LeaderTurn turn, HeldLease held) {
        FailoverPhase phase =
                turn.mState
                        .failovers()
                        .group(held.group())
                        .map(GroupFailover::phase)
                        .orElse(FailoverPhase.HEALTHY);
        if (phase != FailoverPhase.HEALTHY || held.droppedTerm() > 0) {
            turn.failover(held.group(), Optional.empty());
        }
        if (held.released()) {
            new LeaseDecisions(turn).check(held.group());
        }
    }

    private static void finished(LeaderTurn turn, EndpointCommandResult result) {
        EndpointId id = result.command().endpoint();
        result.status()
                .ifPresent(
                        s ->
                                turn.mState =
                                        turn.mState.withFailovers(
                                                turn.mState.failovers().with(id, s)));
        groupsOf(turn, id).stream()
                .filter(g -> g.database().equals(result.command().database()))
                .forEach(g -> turn.failover(g, Optional.of(result)));
    }

    private static void announced(LeaderTurn turn, EndpointRecord endpoint) {
        ControlState control = turn.mState.control();
        boolean known =
                control.configuration().service(endpoint.service()).isPresent()
                        && control.configuration().acceptsDataCentre(endpoint.dataCentre());
        if (!known) {
            return;
        }
        boolean outdated = control.endpoints().values().stream().anyMatch(endpoint::isOutdatedBy);
        if (!outdated && !endpoint.equals(control.endpoints().get(endpoint.id()))) {
            turn.propose(new RegisterEndpoint(endpoint));
        }
        if (control.endpoints().containsKey(endpoint.id())) {
            turn.mState =
                    turn.mState.withFailovers(
                            turn.mState.failovers().withAnnounced(endpoint.id(), turn.mNow));
        }
    }

    private static void tick(LeaderTurn turn) {
        turn.mState = turn.mState.withRegistry(turn.mState.registry().withoutForgotten(turn.mNow));
        LeaseDecisions leases = new LeaseDecisions(turn);
        List<GroupId> groups = turn.mState.failovers().order();
        int count = Math.min(groups.size(), Math.max(GROUPS_PER_TICK, groups.size() / 32));
        int start = groups.isEmpty() ? 0 : turn.mState.cursor() % groups.size();
        for (int i = 0; i < count; i++) {
            GroupId id = groups.get((start + i) % groups.size());
            turn.failover(id, Optional.empty());
            leases.check(id);
        }
        turn.mState.failovers().active().forEach(g -> turn.failover(g, Optional.empty()));
        turn.mState
                .registry()
                .dead(turn.mNow)
                .forEach(h -> turn.mState.leases().groupsOf(h.id()).forEach(leases::check));
        turn.mState = turn.mState.withCursors(start + count, turn.mState.placementCursor());
        leases.rebalance();
        if (start + count >= groups.size()) {
            removeLeft(turn);
        }
    }

    private static void removeLeft(LeaderTurn turn) {
        for (Map.Entry<EndpointId, Long> entry : turn.mState.failovers().announced().entrySet()) {
            EndpointRecord endpoint = turn.mState.control().endpoints().get(entry.getKey());
            boolean left =
                    endpoint != null
                            && endpoint.leaving()
                            && turn.mNow - entry.getValue() >= REMOVE_NANOS;
            if (left && !isPrimary(turn, endpoint)) {
                turn.propose(new RemoveEndpoint(endpoint.id()));
                turn.log("endpoints: endpoint " + endpoint.id() + " left and is removed.");
                long repeat = turn.mNow - REMOVE_NANOS + REMOVE_REPEAT_NANOS;
                turn.mState =
                        turn.mState.withFailovers(
                                turn.mState.failovers().withAnnounced(endpoint.id(), repeat));
            }
        }
    }

    private static boolean isPrimary(LeaderTurn turn, EndpointRecord endpoint) {
        return groupsOf(turn, endpoint.id()).stream()
                .map(g -> turn.mState.control().groups().get(g))
                .anyMatch(g -> g != null && g.primary().equals(Optional.of(endpoint.id())));
    }

    private static List<GroupId> groups(LeaderTurn turn) {
        return turn.mState.failovers().order();
    }
}
