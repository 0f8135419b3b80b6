package org.crocusturn.daemon.endpoints;

import java.security.SecureRandom;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.apache.logging.log4j.LogManager;
import org.crocusturn.core.Decision;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.GroupId;
import org.crocusturn.core.HostId;
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.callers.GroupOperation;
import org.crocusturn.core.controlhosts.ControlView;
import org.crocusturn.core.controlhosts.GrantedTokens;
import org.crocusturn.core.controlhosts.HeldLease;
import org.crocusturn.core.controlhosts.TokenDemand;
import org.crocusturn.core.endpoints.GroupAction;
import org.crocusturn.core.endpoints.GroupCoordinator;
import org.crocusturn.core.endpoints.GroupInput;
import org.crocusturn.core.endpoints.GroupState;
import org.crocusturn.core.endpoints.GroupView;
import org.crocusturn.core.entryhosts.ForwardedRequest;
import org.crocusturn.core.operators.EndpointRecord;
import org.crocusturn.core.ring.DutyHandler;
import org.crocusturn.core.ring.SteadyClock;
import org.crocusturn.daemon.net.NetThreads;
import org.crocusturn.daemon.platform.DecisionLog;
import org.crocusturn.daemon.platform.Metrics;

/** Runs the coordinators of the groups whose leases this host holds. */
public final class GroupsDuty implements DutyHandler<GroupsEvent> {
    /** Tick interval in nanoseconds; bounds how late a time limit is enforced. */
    private static final long TICK_INTERVAL_NANOS = 5_000_000;

    /** Interval between regular updates of the next report, in nanoseconds. */
    private static final long REPORT_INTERVAL_NANOS = 100_000_000;

    private static final int SECRET_BYTES = 16;
    private static final double NANOS_PER_SECOND = 1e9;

    private final GroupCoordinator mCoordinator = GroupCoordinator.standard();
    private final SecureRandom mRandom = new SecureRandom();
    private final DecisionLog mDecisionLog =
            DecisionLog.create(LogManager.getLogger(GroupsDuty.class), "endpoints");
    private final Map<GroupId, GroupState> mGroups = new TreeMap<>();
    private final Map<RequestKey, Long> mArrivedNanos = new HashMap<>();

    /** Group views derived from the state of {@link #mView}. */
    private final Map<GroupId, GroupView> mViews = new HashMap<>();

    private final Map<String, EndpointId> mMonitored = new HashMap<>();
    private final GroupConnections mConnections;
    private final GroupsListener mListener;
    private final EndpointMonitor mMonitor;
    private final Metrics mMetrics;
    private ControlView mView;
    private List<HeldLease> mLastHeld = List.of();
    private boolean mHandoverRequested;
    private long mNextTickNanos;
    private long mNextReportNanos;

    private GroupsDuty(
            ControlView view,
            NetThreads threads,
            Predicate<GroupsEvent> ownRing,
            GroupsListener listener,
            EndpointMonitor monitor,
            Metrics metrics) {
        mView = view;
        mConnections = GroupConnections.create(threads, ownRing);
        mListener = listener;
        mMonitor = monitor;
        mMetrics = metrics;
    }

    /** Identifies a request that has not been routed yet. */
    private record RequestKey(HostId origin, long request) {}

    /** Starts and stops status monitoring of endpoints. */
    public interface EndpointMonitor {
        /** Starts monitoring an endpoint at its status address. */
        void watch(EndpointId endpoint, String statusAddress);

        /** Stops monitoring an endpoint. */
        void unwatch(EndpointId endpoint);
    }

    /**
     * Creates the handler.
     *
     * @param view initial view, before anything is received from the control leader
     * @param threads I/O threads for connections
     * @param ownRing offers an event to the ring of this duty
     * @param listener receives replies and reports
     * @param monitor monitors endpoints
     * @param metrics metrics of the process
     */
    public static GroupsDuty create(
            ControlView view,
            NetThreads threads,
            Predicate<GroupsEvent> ownRing,
            GroupsListener listener,
            EndpointMonitor monitor,
            Metrics metrics) {
        return new GroupsDuty(
                Objects.requireNonNull(view, "view"),
                Objects.requireNonNull(threads, "threads"),
                Objects.requireNonNull(ownRing, "ownRing"),
                Objects.requireNonNull(listener, "listener"),
                Objects.requireNonNull(monitor, "monitor"),
                Objects.requireNonNull(metrics, "metrics"));
    }

    @Override
    public void onEvent(GroupsEvent event) {
        if (event instanceof GroupsEvent.RequestArrived arrived) {
            handleRequest(arrived.origin(), arrived.request());
        } else if (event instanceof GroupsEvent.ViewChanged changed) {
            changeView(changed.view());
        } else if (event instanceof GroupsEvent.ConnectionOpened opened) {
            if (mConnections.opened(opened)) {
                step(opened.group(), new GroupInput.ConnectionOpened(opened.connection()));
            }
        } else if (event instanceof GroupsEvent.ConnectionFailed failed) {
            mConnections.forget(failed.group(), failed.connection());
            step(failed.group(), new GroupInput.ConnectionFailed(failed.connection()));
        } else if (event instanceof GroupsEvent.CommandCompleted completed) {
            step(
                    completed.group(),
                    new GroupInput.ResultReceived(
                            completed.connection(), completed.command(), completed.result()));
        } else if (event instanceof GroupsEvent.EndpointObserved observed) {
            GroupInput input = new GroupInput.Observed(observed.observation());
            heldGroups().forEach(group -> step(group, input));
        } else if (event instanceof GroupsEvent.HandoverRequested) {
            mHandoverRequested = true;
            heldGroups().forEach(group -> step(group, new GroupInput.HandoverRequested()));
        }
    }

    @Override
    public long onTimer(long nowNanos) {
        if (mNextTickNanos - nowNanos <= 0) {
            heldGroups().forEach(group -> step(group, new GroupInput.Tick()));
            mNextTickNanos = nowNanos + TICK_INTERVAL_NANOS;
        }
        if (mNextReportNanos - nowNanos <= 0) {
            report(false);
        }
        return Math.min(mNextTickNanos, mNextReportNanos);
    }

    private void handleRequest(HostId origin, ForwardedRequest forwarded) {
        String secret = "";
        if (forwarded.request().operation() instanceof GroupOperation.Begin) {
            byte[] random = new byte[SECRET_BYTES];
            mRandom.nextBytes(random);
            secret = HexFormat.of().formatHex(random);
        }
        mArrivedNanos.put(new RequestKey(origin, forwarded.request().id()), SteadyClock.nanoTime());
        step(
                forwarded.request().group(),
                new GroupInput.RequestArrived(
                        origin, forwarded.epoch(), forwarded.request(), secret));
    }

    private void changeView(ControlView view) {
        boolean stateChanged = mView.state() != view.state();
        mView = view;
        if (stateChanged) {
            mViews.clear();
        }
        Set<GroupId> groups = new HashSet<>(mGroups.keySet());
        groups.addAll(view.leases().keySet());
        groups.forEach(group -> step(group, new GroupInput.ViewChanged(viewOf(group))));
        view.newTokens().forEach(this::grant);
        updateMonitoredEndpoints();
        mMetrics.setLeases(heldGroups().size());
        mMetrics.setVersions(view.state().configuration().version(), view.state().version());
        if (mHandoverRequested) {
            heldGroups().forEach(group -> step(group, new GroupInput.HandoverRequested()));
        }
    }

    /** Returns the view of a group, reusing the parts derived from an unchanged state. */
    private GroupView viewOf(GroupId group) {
        GroupView known = mViews.get(group);
        GroupView view = known == null ? GroupView.of(mView, group) : known.withLease(mView);
        mViews.put(group, view);
        return view;
    }

    /** Assigns the tokens of a grant to the group that needs most tokens of the workspace. */
    private void grant(GrantedTokens tokens) {
        long now = SteadyClock.nanoTime();
        heldGroups().stream()
                .max(Comparator.comparingLong(group -> wanted(group, tokens.workspace(), now)))
                .ifPresent(group -> step(group, new GroupInput.TokensGranted(tokens)));
        mMetrics.recordGrantedTokens(tokens.workspace().value(), tokens.tokens());
    }

    private long wanted(GroupId group, WorkspaceId workspace, long nowNanos) {
        return mGroups.get(group).demands(nowNanos).stream()
                .filter(d -> d.workspace().equals(workspace))
                .mapToLong(TokenDemand::wanted)
                .sum();
    }

    private List<GroupId> heldGroups() {
        return mGroups.values().stream()
                .filter(state -> state.heldLease().isPresent() || state.unfinished() > 0)
                .map(GroupState::group)
                .toList();
    }

    private void updateMonitoredEndpoints() {
        Set<String> services =
                heldGroups().stream().map(GroupId::service).collect(Collectors.toSet());
        Map<String, EndpointId> wanted = new HashMap<>();
        for (EndpointRecord endpoint : mView.state().endpoints().values()) {
            if (services.contains(endpoint.service())) {
                wanted.put(endpoint.id() + " " + endpoint.statusAddress(), endpoint.id());
            }
        }
        Set.copyOf(mMonitored.keySet()).stream()
                .filter(key -> !wanted.containsKey(key))
                .forEach(key -> mMonitor.unwatch(mMonitored.remove(key)));
        wanted.forEach(
                (key, endpoint) -> {
                    if (mMonitored.put(key, endpoint) == null) {
                        mMonitor.watch(endpoint, key.substring(key.indexOf(' ') + 1));
                    }
                });
    }

    private void step(GroupId group, GroupInput input) {
        GroupState state = mGroups.computeIfAbsent(group, GroupState::of);
        Decision<GroupState, GroupAction> decision =
                mCoordinator.step(state, input, SteadyClock.nanoTime());
        mGroups.put(group, decision.state());
        decision.actions().forEach(action -> perform(group, action));
        boolean urgent =
                state.droppedTerm() != decision.state().droppedTerm()
                        || state.released() != decision.state().released();
        if (urgent) {
            report(true);
        }
    }

    private void perform(GroupId group, GroupAction action) {
        if (action instanceof GroupAction.OpenConnection open) {
            Optional<EndpointRecord> endpoint =
                    Optional.ofNullable(mView.state().endpoints().get(open.endpoint()));
            mConnections.open(group, open, endpoint.map(EndpointRecord::address));
        } else if (action instanceof GroupAction.CloseConnection close) {
            mConnections.close(group, close.connection());
        } else if (action instanceof GroupAction.SendCommand send) {
            mConnections.send(group, send);
        } else if (action instanceof GroupAction.Reply reply) {
            mArrivedNanos.remove(new RequestKey(reply.origin(), reply.request()));
            mListener.replied(reply.origin(), reply.request(), reply.outcome());
        } else if (action instanceof GroupAction.LogRoute route) {
            logRoute(group, route);
        } else if (action instanceof GroupAction.SuspectEndpoint suspect) {
            mListener.endpointSuspected(suspect.endpoint());
        } else if (action instanceof GroupAction.TokensNeeded) {
            report(true);
        } else if (action instanceof GroupAction.Released) {
            report(true);
        }
    }

    private void logRoute(GroupId group, GroupAction.LogRoute route) {
        long now = SteadyClock.nanoTime();
        Long arrived = mArrivedNanos.remove(new RequestKey(route.origin(), route.request()));
        if (arrived != null) {
            mMetrics.recordQueueTime((now - arrived) / NANOS_PER_SECOND);
        }
        mDecisionLog.write(
                "request "
                        + route.request()
                        + " of "
                        + route.workspace()
                        + " from "
                        + route.origin()
                        + " for "
                        + group
                        + " goes to "
                        + route.endpoint()
                        + ": "
                        + route.reason(),
                now);
    }

    private void report(boolean urgent) {
        long now = SteadyClock.nanoTime();
        List<HeldLease> leases =
                mGroups.values().stream().flatMap(state -> state.heldLease().stream()).toList();
        Map<WorkspaceId, TokenDemand> demands = new TreeMap<>();
        mGroups.values().stream()
                .flatMap(state -> state.demands(now).stream())
                .forEach(d -> demands.merge(d.workspace(), d, GroupsDuty::sum));
        mListener.reportChanged(
                leases, List.copyOf(demands.values()), urgent || !leases.equals(mLastHeld));
        mLastHeld = leases;
        mNextReportNanos = now + REPORT_INTERVAL_NANOS;
    }

    private static TokenDemand sum(TokenDemand a, TokenDemand b) {
        return new TokenDemand(
                a.workspace(), a.wanted() + b.wanted(), a.spentTotal() + b.spentTotal());
    }
}
