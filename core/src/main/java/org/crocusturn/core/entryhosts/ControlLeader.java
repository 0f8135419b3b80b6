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
import org.crocusturn.core.endpoints.FailoverState;
import org.crocusturn.core.endpoints.FailureDetector;
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
 * State machine of the control leader: assigns leases and rate tokens, drives failovers and tracks
 * endpoints. Steps are pure functions; the class is immutable and thread-safe.
 *
 * <p>Cost of a step, in addition to the O(log n) of the persistent maps:
 *
 * <ul>
 *   <li>report: O(its leases and demands + size of the update)
 *   <li>observation: O(copies on the endpoint x copies of a group)
 *   <li>committed lease or failover command: O(copies)
 *   <li>any other committed command: O(groups x copies + endpoints)
 *   <li>push after a committed command, at most every 20 ms: O(live hosts x size of an update)
 *   <li>tick: O(hosts) plus O(copies) for each group in a failover, each group of a dead host, and
 *       256 or 1/32 of the other groups, whichever is more
 *   <li>group that needs another leaseholder: O(hosts)
 * </ul>
 *
 * <p>No step costs O(hosts x groups) unless all groups need a holder. Failures reported by the
 * monitor or by a closed link are handled immediately rather than at the next tick.
 */
public final class ControlLeader {
    /** Minimum time between two pushes; state changes in between are sent together. */
    static final long PUSH_INTERVAL_NANOS = Duration.ofMillis(20).toNanos();

    /** Time without announcements after which a leaving endpoint is removed. */
    static final long REMOVAL_DELAY_NANOS = Duration.ofSeconds(10).toNanos();

    /** Minimum number of groups checked at each tick; 1/32 of all groups if that is more. */
    static final int MIN_GROUPS_PER_TICK = 256;

    private static final long REMOVAL_RETRY_NANOS = Duration.ofSeconds(1).toNanos();

    private final PlacementPolicy mPlacement;
    private final FailureDetector mDetector;

    private ControlLeader(PlacementPolicy placement, FailureDetector detector) {
        mPlacement = Objects.requireNonNull(placement, "placement");
        mDetector = Objects.requireNonNull(detector, "detector");
    }

    /** Creates a leader with the default placement policy and failure detector. */
    public static ControlLeader standard() {
        return of(WarmHostPlacement.of(new SpreadPlacement()), FailureDetector.standard());
    }

    /** Creates a leader with the given policies. */
    public static ControlLeader of(PlacementPolicy placement, FailureDetector detector) {
        return new ControlLeader(placement, detector);
    }

    /**
     * Processes an input. All inputs before the first {@link LeaderInput.LeadershipGained} are
     * ignored.
     *
     * @param state state after the previous step; {@link LeaderState#idle} before the first
     * @param input what happened
     * @param nowNanos monotonic time, not less than at the previous step
     */
    public Decision<LeaderState, LeaderAction> step(
            LeaderState state, LeaderInput input, long nowNanos) {
        if (input instanceof LeaderInput.LeadershipGained gained) {
            return Decision.of(
                    LeaderState.ofNewLeader(
                            gained.term(), gained.state(), gained.history(), nowNanos),
                    new LeaderAction.Log(
                            "entryhosts: this host leads in term " + gained.term() + "."));
        }
        if (!state.hasLed()) {
            return Decision.of(state);
        }
        LeaderStep step =
                new LeaderStep(state.withStepped(nowNanos), nowNanos, mPlacement, mDetector);
        handle(step, input);
        return step.finish();
    }

    private static void handle(LeaderStep step, LeaderInput input) {
        if (input instanceof LeaderInput.CommandApplied applied) {
            handleCommandApplied(step, applied);
        } else if (input instanceof LeaderInput.ReportReceived received) {
            handleReport(step, received.report());
        } else if (input instanceof LeaderInput.EntryLinkClosed closed) {
            step.mState =
                    step.mState
                            .withRegistry(step.mState.registry().withLinkClosed(closed.host()))
                            .withSentChanges(step.mState.sentChanges().without(closed.host()));
            step.mState
                    .leases()
                    .groupsOf(closed.host())
                    .forEach(new LeaseDecisions(step)::checkGroup);
        } else if (input instanceof LeaderInput.EndpointObserved observed) {
            EndpointId endpoint = observed.observation().endpoint();
            step.mState =
                    step.mState.withFailovers(
                            step.mState.failovers().with(observed.observation(), step.mNowNanos));
            groupsOf(step, endpoint).forEach(g -> step.advanceFailover(g, Optional.empty()));
        } else if (input instanceof LeaderInput.CommandFinished finished) {
            handleCommandFinished(step, finished.result());
        } else if (input instanceof LeaderInput.AnnouncementReceived announcement) {
            handleAnnouncement(step, announcement.endpoint());
        } else if (input instanceof LeaderInput.DepartureReceived departure) {
            handleDeparture(step, departure.endpoint());
        } else {
            handleTick(step);
        }
    }

    private static List<GroupId> groupsOf(LeaderStep step, EndpointId id) {
        EndpointRecord endpoint = step.mState.control().endpoints().get(id);
        return endpoint == null
                ? List.of()
                : endpoint.databases().stream()
                        .map(d -> GroupId.of(endpoint.service(), d.name()))
                        .toList();
    }

    private static void handleCommandApplied(LeaderStep step, LeaderInput.CommandApplied applied) {
        ControlState before = step.mState.control();
        if (applied.version() <= before.version()) {
            return;
        }
        ControlState after = applied.state();
        step.mState =
                step.mState.withControl(
                        after,
                        step.mState.history().plus(applied.version(), applied.command(), after),
                        applied.command().concernsEntryHosts());
        Optional<GroupId> group = groupOf(applied.command());
        if (group.isPresent()) {
            refreshGroup(step, group.get());
            return;
        }
        if (affectsManyGroups(applied.command())) {
            step.mState =
                    step.mState
                            .withTokens(step.mState.tokens().with(after.configuration()))
                            .withFailovers(
                                    step.mState.failovers().withState(after, step.mNowNanos));
            before.groups().keySet().stream()
                    .filter(g -> !after.groups().containsKey(g))
                    .forEach(
                            g ->
                                    step.mState =
                                            step.mState.withLeases(
                                                    step.mState.leases().withoutGroup(g)));
            allGroups(step).forEach(g -> refreshGroup(step, g));
            logPlacements(step, before, after);
        }
    }

    private static void refreshGroup(LeaderStep step, GroupId id) {
        GroupRecord record = step.mState.control().groups().get(id);
        if (record != null) {
            step.mState =
                    step.mState.withLeases(step.mState.leases().withRecord(record, step.mNowNanos));
            step.advanceFailover(id, Optional.empty());
            new LeaseDecisions(step).checkGroup(id);
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
        if (command instanceof ControlCommand.ConfirmCoverage confirm) {
            return Optional.of(confirm.group());
        }
        return command instanceof ControlCommand.CompletePromotion complete
                ? Optional.of(complete.group())
                : Optional.empty();
    }

    private static boolean affectsManyGroups(ControlCommand command) {
        return command instanceof ApplyConfiguration
                || command instanceof ReplaceConfiguration
                || command instanceof SetDataCentreDrained
                || command instanceof RegisterEndpoint
                || command instanceof RemoveEndpoint;
    }

    private static void logPlacements(LeaderStep step, ControlState before, ControlState after) {
        after.placements().entrySet().stream()
                .filter(e -> !before.placements().containsKey(e.getKey()))
                .sorted(Comparator.comparing(e -> e.getKey().toString()))
                .forEach(e -> step.log(describePlacement(after, e)));
    }

    private static String describePlacement(
            ControlState state, Map.Entry<PlacementKey, String> entry) {
        PlacementKey key = entry.getKey();
        boolean configured =
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
                + (configured ? ", configured by the operator." : ", selected by hashing.");
    }

    private static void handleReport(LeaderStep step, EntryReport report) {
        if (step.mState.registry().isNew(report)) {
            boolean hadConfirmed = hasConfirmedAnswer(step, report);
            step.mState =
                    step.mState
                            .withRegistry(step.mState.registry().with(report, step.mNowNanos))
                            .withLeases(step.mState.leases().with(report));
            RegisteredHost host = step.mState.registry().host(report.host()).orElseThrow();
            step.mState =
                    step.mState.withSentChanges(
                            step.mState.sentChanges().withConfirmed(host, step.mNowNanos));
            step.mState =
                    step.mState.withTokens(
                            step.mState
                                    .tokens()
                                    .with(
                                            host,
                                            report.demands(),
                                            report.holdingsTerm() == step.mState.term(),
                                            step.mNowNanos));
            report.leases().forEach(held -> handleHeldLease(step, held));
            if (host.answerConfirmed() && !hadConfirmed) {
                LeaseDecisions leases = new LeaseDecisions(step);
                step.mState.leases().groupsOf(host.id()).forEach(leases::checkGroup);
            }
        }
        step.requestUpdate(report.host());
    }

    private static boolean hasConfirmedAnswer(LeaderStep step, EntryReport report) {
        return step.mState
                .registry()
                .host(report.host())
                .filter(h -> h.incarnation() == report.incarnation() && h.answerConfirmed())
                .isPresent();
    }

    private static void handleHeldLease(LeaderStep step, HeldLease held) {
        FailoverPhase phase =
                step.mState
                        .failovers()
                        .group(held.group())
                        .map(FailoverState::phase)
                        .orElse(FailoverPhase.HEALTHY);
        if (phase != FailoverPhase.HEALTHY || held.droppedTerm() > 0) {
            step.advanceFailover(held.group(), Optional.empty());
        }
        if (held.released()) {
            new LeaseDecisions(step).checkGroup(held.group());
        }
        confirmCoverage(step, held);
    }

    /** Records what a holder found out about the copies, for the leaseholders after it. */
    private static void confirmCoverage(LeaderStep step, HeldLease held) {
        GroupRecord record = step.mState.control().groups().get(held.group());
        if (record != null
                && !record.coverage().isConfirmed()
                && record.leaseholder().filter(h -> h.epoch() == held.epoch()).isPresent()
                && held.coveredVersion() > 0
                && held.coveredVersion() >= record.coverage().lostVersion()) {
            step.propose(
                    new ControlCommand.ConfirmCoverage(
                            held.group(), held.epoch(), held.coveredVersion()));
        }
    }

    private static void handleCommandFinished(LeaderStep step, EndpointCommandResult result) {
        EndpointId id = result.command().endpoint();
        result.status()
                .ifPresent(
                        s ->
                                step.mState =
                                        step.mState.withFailovers(
                                                step.mState.failovers().with(id, s)));
        groupsOf(step, id).stream()
                .filter(g -> g.database().equals(result.command().database()))
                .forEach(g -> step.advanceFailover(g, Optional.of(result)));
    }

    private static void handleAnnouncement(LeaderStep step, EndpointRecord endpoint) {
        ControlState control = step.mState.control();
        boolean known =
                control.recordsEndpointsOf(endpoint.service())
                        && control.configuration().acceptsDataCentre(endpoint.dataCentre());
        if (!known) {
            return;
        }
        boolean outdated = control.endpoints().values().stream().anyMatch(endpoint::isOutdatedBy);
        if (!outdated && !endpoint.equals(control.endpoints().get(endpoint.id()))) {
            step.propose(new RegisterEndpoint(endpoint));
        }
        if (control.endpoints().containsKey(endpoint.id())) {
            step.mState =
                    step.mState.withFailovers(
                            step.mState.failovers().withAnnounced(endpoint.id(), step.mNowNanos));
        }
    }

    /**
     * Keeps the record of a departed endpoint until {@link #REMOVAL_DELAY_NANOS} have passed. It
     * may be the only replica that had received a commit, and a leaseholder that does not know it
     * would promote another one.
     */
    private static void handleDeparture(LeaderStep step, EndpointId id) {
        EndpointRecord endpoint = step.mState.control().endpoints().get(id);
        if (endpoint == null) {
            return;
        }
        step.mState =
                step.mState.withFailovers(
                        step.mState.failovers().withAnnounced(id, step.mNowNanos));
        if (!endpoint.leaving()) {
            step.propose(new RegisterEndpoint(endpoint.withLeaving(true)));
        }
    }

    private static void handleTick(LeaderStep step) {
        step.mState =
                step.mState.withRegistry(step.mState.registry().withoutSilentHosts(step.mNowNanos));
        LeaseDecisions leases = new LeaseDecisions(step);
        List<GroupId> groups = step.mState.failovers().sortedGroups();
        int count = Math.min(groups.size(), Math.max(MIN_GROUPS_PER_TICK, groups.size() / 32));
        int start = groups.isEmpty() ? 0 : step.mState.groupCursor() % groups.size();
        for (int i = 0; i < count; i++) {
            GroupId id = groups.get((start + i) % groups.size());
            step.advanceFailover(id, Optional.empty());
            leases.checkGroup(id);
        }
        step.mState
                .failovers()
                .inFailover()
                .forEach(g -> step.advanceFailover(g, Optional.empty()));
        step.mState
                .registry()
                .dead(step.mNowNanos)
                .forEach(h -> step.mState.leases().groupsOf(h.id()).forEach(leases::checkGroup));
        step.mState = step.mState.withCursors(start + count, step.mState.placementCursor());
        leases.rebalance();
        if (start + count >= groups.size()) {
            removeDepartedEndpoints(step);
        }
    }

    private static void removeDepartedEndpoints(LeaderStep step) {
        for (Map.Entry<EndpointId, Long> entry :
                step.mState.failovers().announcedNanos().entrySet()) {
            EndpointRecord endpoint = step.mState.control().endpoints().get(entry.getKey());
            boolean departed =
                    endpoint != null
                            && endpoint.leaving()
                            && step.mNowNanos - entry.getValue() >= REMOVAL_DELAY_NANOS;
            if (departed && !isPrimary(step, endpoint)) {
                step.propose(new RemoveEndpoint(endpoint.id()));
                step.log(
                        "endpoints: endpoint "
                                + endpoint.id()
                                + " is removed after its departure.");
                long announcedNanos = step.mNowNanos - REMOVAL_DELAY_NANOS + REMOVAL_RETRY_NANOS;
                step.mState =
                        step.mState.withFailovers(
                                step.mState
                                        .failovers()
                                        .withAnnounced(endpoint.id(), announcedNanos));
            }
        }
    }

    private static boolean isPrimary(LeaderStep step, EndpointRecord endpoint) {
        return groupsOf(step, endpoint.id()).stream()
                .map(g -> step.mState.control().groups().get(g))
                .anyMatch(g -> g != null && g.primary().equals(Optional.of(endpoint.id())));
    }

    private static List<GroupId> allGroups(LeaderStep step) {
        return step.mState.failovers().sortedGroups();
    }
}
