package org.crocusturn.daemon.entryhosts;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.crocusturn.core.Decision;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.GroupId;
import org.crocusturn.core.HostId;
import org.crocusturn.core.controlhosts.ControlUpdate;
import org.crocusturn.core.controlhosts.EntryReport;
import org.crocusturn.core.controlhosts.MembershipPolicy;
import org.crocusturn.core.controlhosts.NotLeader;
import org.crocusturn.core.endpoints.EndpointCommand;
import org.crocusturn.core.endpoints.EndpointCommandResult;
import org.crocusturn.core.entryhosts.CommandHistory;
import org.crocusturn.core.entryhosts.ControlLeader;
import org.crocusturn.core.entryhosts.LeaderAction;
import org.crocusturn.core.entryhosts.LeaderInput;
import org.crocusturn.core.entryhosts.LeaderState;
import org.crocusturn.core.operators.ControlCommand;
import org.crocusturn.core.operators.ControlState;
import org.crocusturn.core.operators.EndpointRecord;
import org.crocusturn.core.ring.DutyHandler;
import org.crocusturn.core.ring.SteadyClock;
import org.crocusturn.daemon.platform.DecisionLog;
import org.crocusturn.daemon.platform.Metrics;

/**
 * Runs the decisions of the control leader while this host is the leader.
 *
 * <p>Inputs are dropped while the leader lease is not valid. Otherwise an answer could still be in
 * effect after the time that the next leader waits for the leases of this one to expire.
 */
public final class LeaderDuty implements DutyHandler<LeaderEvent> {
    private static final Logger LOG = LogManager.getLogger(LeaderDuty.class);
    private static final long TICK_INTERVAL_NANOS = 20_000_000;

    /** Interval of ticks while another host leads, in nanoseconds. */
    private static final long IDLE_TICK_INTERVAL_NANOS = 200_000_000;

    /** Time for which a join request is valid, in nanoseconds; hosts repeat it every 500 ms. */
    private static final long JOIN_REQUEST_TTL_NANOS = 2_000_000_000L;

    /** One in this many updates to an entry host lists the members of the consensus group. */
    private static final long UPDATES_PER_MEMBER_LIST = 8;

    private static final double NANOS_PER_SECOND = 1e9;

    private final DecisionLog mLog = DecisionLog.create(LOG, "");
    private final Map<EndpointId, String> mWatchedAddresses = new HashMap<>();
    private final Map<GroupId, Long> mFailoverStartNanos = new HashMap<>();
    private final Map<HostId, PendingJoin> mJoinRequests = new HashMap<>();
    private final Decisions mDecisions;
    private final LeaderContext mContext;
    private final Metrics mMetrics;
    private CommandHistory mHistory = CommandHistory.of(ControlState.EMPTY);
    private LeaderState mState = LeaderState.idle();

    /** Latest report of each host that arrived while the leader lease was not valid. */
    private final Map<HostId, EntryReport> mDeferredReports = new LinkedHashMap<>();

    private boolean mLeadershipGained;
    private long mNextTickNanos;
    private long mNextMembershipNanos;

    private LeaderDuty(Decisions decisions, LeaderContext context, Metrics metrics) {
        mDecisions = decisions;
        mContext = context;
        mMetrics = metrics;
    }

    /**
     * A request of a host to become a member.
     *
     * @param linkAddress address where the host accepts links
     * @param requestedNanos steady time of the latest request
     */
    private record PendingJoin(String linkAddress, long requestedNanos) {}

    /** Decisions of the control leader, without side effects. */
    interface Decisions {
        Decision<LeaderState, LeaderAction> step(
                LeaderState state, LeaderInput input, long nowNanos);
    }

    /** Creates the handler. */
    public static LeaderDuty create(LeaderContext context, Metrics metrics) {
        return create(ControlLeader.standard()::step, context, metrics);
    }

    static LeaderDuty create(Decisions decisions, LeaderContext context, Metrics metrics) {
        return new LeaderDuty(
                Objects.requireNonNull(decisions, "decisions"),
                Objects.requireNonNull(context, "context"),
                Objects.requireNonNull(metrics, "metrics"));
    }

    @Override
    public void onEvent(LeaderEvent event) {
        if (event instanceof LeaderEvent.LeadershipGained gained) {
            keepHistory();
            mLeadershipGained = true;
            mNextTickNanos = SteadyClock.nanoTime();
            mState = LeaderState.idle();
            step(
                    new LeaderInput.LeadershipGained(
                            gained.term(), gained.state(), historyUpTo(gained.state())));
            watch(gained.state());
            // Entry hosts would otherwise search for the leader until their leases have ended.
            mContext.sendToAll(notLeader());
        } else if (event instanceof LeaderEvent.LeadershipLost) {
            keepHistory();
            mLeadershipGained = false;
            mState = LeaderState.idle();
            unwatchAll();
            mDeferredReports.keySet().forEach(host -> mContext.send(host, notLeader()));
            mDeferredReports.clear();
        } else if (event instanceof LeaderEvent.StateRestored restored) {
            mHistory = CommandHistory.of(restored.state());
        } else if (event instanceof LeaderEvent.CommandApplied applied) {
            onCommandApplied(applied);
        } else if (event instanceof LeaderEvent.ReportReceived reported) {
            onReport(reported);
        } else if (event instanceof LeaderEvent.EntryLinkClosed closed) {
            stepIfLeading(new LeaderInput.EntryLinkClosed(closed.host()));
        } else if (event instanceof LeaderEvent.EndpointObserved observed) {
            stepIfLeading(new LeaderInput.EndpointObserved(observed.observation()));
        } else if (event instanceof LeaderEvent.CommandFinished finished) {
            stepIfLeading(new LeaderInput.CommandFinished(finished.result()));
        } else if (event instanceof LeaderEvent.AnnouncementReceived announced) {
            stepIfLeading(new LeaderInput.AnnouncementReceived(announced.endpoint()));
        } else if (event instanceof LeaderEvent.DepartureReceived departed) {
            stepIfLeading(new LeaderInput.DepartureReceived(departed.endpoint()));
        } else if (event instanceof LeaderEvent.JoinRequested requested) {
            mJoinRequests.put(
                    requested.request().host(),
                    new PendingJoin(requested.request().linkAddress(), SteadyClock.nanoTime()));
        } else if (event instanceof LeaderEvent.LiveHostsRequested requested) {
            requested.reply().complete(isLeader() ? liveHosts() : Set.of());
        }
    }

    @Override
    public long onTimer(long nowNanos) {
        handleDeferredReports();
        if (mNextTickNanos - nowNanos <= 0) {
            mMetrics.setLeads(isLeader());
            stepIfLeading(new LeaderInput.Tick());
            reconcileMembership(nowNanos);
            mNextTickNanos =
                    nowNanos + (isLeader() ? TICK_INTERVAL_NANOS : IDLE_TICK_INTERVAL_NANOS);
        }
        return mNextTickNanos;
    }

    private void reconcileMembership(long nowNanos) {
        if (mNextMembershipNanos - nowNanos > 0) {
            return;
        }
        mNextMembershipNanos = nowNanos + MembershipPolicy.CHECK_INTERVAL_NANOS;
        mJoinRequests
                .values()
                .removeIf(j -> nowNanos - j.requestedNanos() > JOIN_REQUEST_TTL_NANOS);
        if (isLeader()) {
            Map<HostId, String> joining = new HashMap<>();
            mJoinRequests.forEach((host, j) -> joining.put(host, j.linkAddress()));
            if (mContext.reconcileMembership(joining, nowNanos)) {
                mNextMembershipNanos = nowNanos + MembershipPolicy.FOLLOW_UP_INTERVAL_NANOS;
            }
        } else {
            mContext.requestJoin(nowNanos);
        }
    }

    private Set<HostId> liveHosts() {
        return mState.registry().live(SteadyClock.nanoTime()).stream()
                .map(host -> host.id())
                .collect(Collectors.toSet());
    }

    private boolean isLeader() {
        return mLeadershipGained && mContext.isLeaderLeaseValid();
    }

    /** Takes over the commands that the decisions have kept while this host leads. */
    private void keepHistory() {
        if (mLeadershipGained) {
            mHistory = mState.history();
        }
    }

    /**
     * Returns the commands that led to a state. A host keeps them also while another one leads, so
     * that a new leader does not send the whole state to all entry hosts.
     */
    private CommandHistory historyUpTo(ControlState state) {
        return mHistory.replacement().state().version() == state.version()
                ? mHistory
                : CommandHistory.of(state);
    }

    /** Passes a committed command to the decisions, also while the leader lease is not valid. */
    private void onCommandApplied(LeaderEvent.CommandApplied applied) {
        if (!mLeadershipGained) {
            mHistory = mHistory.plus(applied.version(), applied.command(), applied.state());
            return;
        }
        step(new LeaderInput.CommandApplied(applied.version(), applied.command(), applied.state()));
        watch(applied.state());
        long now = SteadyClock.nanoTime();
        if (applied.command() instanceof ControlCommand.BeginFailover begin) {
            mFailoverStartNanos.put(begin.group(), now);
        } else if (applied.command() instanceof ControlCommand.CompletePromotion complete) {
            Long startNanos = mFailoverStartNanos.remove(complete.group());
            if (startNanos != null) {
                mMetrics.recordFailover((now - startNanos) / NANOS_PER_SECOND);
            }
        }
        mMetrics.setVersions(applied.state().configuration().version(), applied.version());
    }

    private void onReport(LeaderEvent.ReportReceived reported) {
        EntryReport report = reported.report();
        if (!report.host().equals(reported.link())) {
            return;
        }
        if (isLeader()) {
            handleDeferredReports();
            step(new LeaderInput.ReportReceived(report));
        } else if (mLeadershipGained) {
            mDeferredReports.put(report.host(), report);
        } else {
            mContext.send(report.host(), notLeader());
        }
    }

    /**
     * Handles the reports that waited until this host could prove again that it leads. Nobody else
     * leads meanwhile, so "not the leader" would only make all hosts search, and their reports
     * would keep a leader with too much work from leading.
     */
    private void handleDeferredReports() {
        if (!mDeferredReports.isEmpty() && isLeader()) {
            List<EntryReport> reports = List.copyOf(mDeferredReports.values());
            mDeferredReports.clear();
            reports.forEach(report -> step(new LeaderInput.ReportReceived(report)));
        }
    }

    private NotLeader notLeader() {
        Optional<HostId> leader = mContext.leaderHint();
        // Without a leader, the term may be that of an election that nobody has won.
        long term = leader.isPresent() ? mContext.term() : 0;
        return new NotLeader(leader, term, mContext.members());
    }

    private void stepIfLeading(LeaderInput input) {
        if (isLeader()) {
            step(input);
        }
    }

    private void step(LeaderInput input) {
        Decision<LeaderState, LeaderAction> decision;
        try {
            decision = mDecisions.step(mState, input, SteadyClock.nanoTime());
        } catch (RuntimeException e) {
            if (!isMessage(input)) {
                throw e;
            }
            // The decision changed nothing. Each next leader would fail at the same message.
            LOG.error("entryhosts: dropped a message that failed: {}", input, e);
            return;
        }
        mState = decision.state();
        decision.actions().forEach(this::perform);
    }

    /** Returns whether an input is a message of one entry host or endpoint, which may be lost. */
    private static boolean isMessage(LeaderInput input) {
        return input instanceof LeaderInput.ReportReceived
                || input instanceof LeaderInput.AnnouncementReceived
                || input instanceof LeaderInput.DepartureReceived
                || input instanceof LeaderInput.EndpointObserved;
    }

    private void perform(LeaderAction action) {
        if (action instanceof LeaderAction.Propose propose) {
            mContext.propose(propose.command());
        } else if (action instanceof LeaderAction.SendUpdate send) {
            if (mContext.isLeaderLeaseValid()) {
                ControlUpdate update = send.update();
                boolean includesMembers = update.sequence() % UPDATES_PER_MEMBER_LIST == 1;
                mContext.send(
                        send.host(),
                        includesMembers ? update.withMembers(mContext.members()) : update);
            }
        } else if (action instanceof LeaderAction.SendCommand send) {
            sendCommand(send.command());
        } else if (action instanceof LeaderAction.Log log) {
            mLog.write(log.text(), SteadyClock.nanoTime());
        }
    }

    private void sendCommand(EndpointCommand command) {
        String address = mWatchedAddresses.get(command.endpoint());
        if (address == null) {
            stepIfLeading(
                    new LeaderInput.CommandFinished(
                            new EndpointCommandResult(command, Optional.empty())));
        } else {
            mContext.sendCommand(address, command);
        }
    }

    private void watch(ControlState state) {
        Set.copyOf(mWatchedAddresses.keySet()).stream()
                .filter(id -> !state.endpoints().containsKey(id))
                .forEach(this::unwatch);
        state.endpoints().values().forEach(this::watch);
    }

    private void watch(EndpointRecord endpoint) {
        String known = mWatchedAddresses.get(endpoint.id());
        if (endpoint.statusAddress().isEmpty() || endpoint.statusAddress().equals(known)) {
            return;
        }
        if (known != null) {
            mContext.unwatch(endpoint.id());
        }
        mWatchedAddresses.put(endpoint.id(), endpoint.statusAddress());
        mContext.watch(endpoint.id(), endpoint.statusAddress());
    }

    private void unwatch(EndpointId endpoint) {
        mWatchedAddresses.remove(endpoint);
        mContext.unwatch(endpoint);
    }

    private void unwatchAll() {
        Set.copyOf(mWatchedAddresses.keySet()).forEach(this::unwatch);
    }
}
