package org.crocusturn.daemon.endpoints;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.crocusturn.core.DataCentreId;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.ErrorCode;
import org.crocusturn.core.Failure;
import org.crocusturn.core.GroupId;
import org.crocusturn.core.HostId;
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.callers.RouteCheck;
import org.crocusturn.core.callers.SessionOutcome;
import org.crocusturn.core.callers.StatementKind;
import org.crocusturn.core.callers.TransactionStep;
import org.crocusturn.core.controlhosts.ControlView;
import org.crocusturn.core.controlhosts.GrantedTokens;
import org.crocusturn.core.controlhosts.HeldLease;
import org.crocusturn.core.controlhosts.TokenAllowance;
import org.crocusturn.core.controlhosts.TokenDemand;
import org.crocusturn.core.endpoints.AnswerMatch;
import org.crocusturn.core.endpoints.ConnectionLoss;
import org.crocusturn.core.endpoints.PromotionFencing;
import org.crocusturn.core.endpoints.SessionResult;
import org.crocusturn.core.entryhosts.SessionCall;
import org.crocusturn.core.entryhosts.SessionReply;
import org.crocusturn.core.operators.Configuration;
import org.crocusturn.core.operators.Leaseholder;
import org.crocusturn.core.operators.Workspace;
import org.crocusturn.core.ring.DutyHandler;
import org.crocusturn.core.ring.SteadyClock;
import org.crocusturn.daemon.platform.DecisionLog;
import org.crocusturn.daemon.platform.Metrics;

/** Runs the statements of sessions for the groups whose leases this host holds. */
public final class SessionGroupsDuty implements DutyHandler<SessionGroupsEvent> {
    private static final Logger LOG = LogManager.getLogger(SessionGroupsDuty.class);

    /** Tick interval while a group has work; bounds how late a time limit is enforced. */
    private static final long BUSY_TICK_INTERVAL_NANOS = Duration.ofMillis(20).toNanos();

    /** Tick interval while all groups are idle. */
    private static final long IDLE_TICK_INTERVAL_NANOS = Duration.ofMillis(200).toNanos();

    /** Tick interval without leases, when only events give the duty something to do. */
    private static final long UNUSED_TICK_INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();

    /** Interval between regular updates of the next report. */
    private static final long REPORT_INTERVAL_NANOS = Duration.ofMillis(100).toNanos();

    /** Minimum interval between two requests for the tokens of single workspaces. */
    private static final long TOKEN_REQUEST_INTERVAL_NANOS = Duration.ofMillis(5).toNanos();

    private static final double NANOS_PER_SECOND = 1e9;

    private final HostId mSelf;
    private final DataCentreId mDataCentre;
    private final EndpointConnector mConnector;
    private final PromotionRequests mPromotions;
    private final Predicate<SessionGroupsEvent> mOwnRing;
    private final SessionGroupsListener mListener;
    private final UsageMeter mUsage;
    private final Metrics mMetrics;
    private final DecisionLog mDecisionLog = DecisionLog.create(LOG, "endpoints");
    private final Map<GroupId, LeasedGroup> mGroups = new TreeMap<>();
    private final Map<Long, PooledSession> mSessions = new HashMap<>();
    private final Map<WorkspaceId, TokenAllowance> mTokens = new HashMap<>();
    private final Set<WorkspaceId> mWithoutTokens = new LinkedHashSet<>();
    private final Context mContext = new Context();
    private ControlView mView;
    private List<HeldLease> mLastHeld = List.of();
    private long mNextSessionId = 1;
    private long mNextTickNanos = SteadyClock.nanoTime();
    private long mNextReportNanos;
    private long mNextTokenRequestNanos;
    private boolean mReportUrgent;
    private Optional<CompletableFuture<Void>> mCallsEnded = Optional.empty();

    private SessionGroupsDuty(
            HostId self,
            DataCentreId dataCentre,
            ControlView view,
            EndpointConnector connector,
            PromotionService promotions,
            Predicate<SessionGroupsEvent> ownRing,
            SessionGroupsListener listener,
            UsageMeter usage,
            Metrics metrics) {
        mSelf = self;
        mUsage = usage;
        mMetrics = metrics;
        mDataCentre = dataCentre;
        mView = view;
        mConnector = connector;
        mPromotions = new PromotionRequests(promotions, this::offer);
        mOwnRing = ownRing;
        mListener = listener;
    }

    /**
     * Creates the handler.
     *
     * @param self this host
     * @param dataCentre data centre of this host
     * @param view initial view, before anything is received from the control leader
     * @param connector opens connections to endpoints
     * @param promotions requests promotions from the platform
     * @param ownRing offers an event to the ring of this duty
     * @param listener receives answers and reports
     * @param usage counts the requests that endpoints run
     * @param metrics metrics of the process
     */
    public static SessionGroupsDuty create(
            HostId self,
            DataCentreId dataCentre,
            ControlView view,
            EndpointConnector connector,
            PromotionService promotions,
            Predicate<SessionGroupsEvent> ownRing,
            SessionGroupsListener listener,
            UsageMeter usage,
            Metrics metrics) {
        return new SessionGroupsDuty(
                Objects.requireNonNull(self, "self"),
                Objects.requireNonNull(dataCentre, "dataCentre"),
                Objects.requireNonNull(view, "view"),
                Objects.requireNonNull(connector, "connector"),
                Objects.requireNonNull(promotions, "promotions"),
                Objects.requireNonNull(ownRing, "ownRing"),
                Objects.requireNonNull(listener, "listener"),
                Objects.requireNonNull(usage, "usage"),
                Objects.requireNonNull(metrics, "metrics"));
    }

    @Override
    public void onEvent(SessionGroupsEvent event) {
        if (event instanceof SessionGroupsEvent.CallArrived arrived) {
            handleCall(arrived.origin(), arrived.call());
        } else if (event instanceof SessionGroupsEvent.ResultReceived received) {
            PooledSession session = mSessions.get(received.session());
            if (session != null) {
                session.recordResult(received.result());
                session.task()
                        .ifPresentOrElse(
                                t -> t.onResult(session, received.result()),
                                () -> mContext.close(session));
            }
        } else if (event instanceof SessionGroupsEvent.ConnectionOpened opened) {
            PooledSession session = mSessions.get(opened.session());
            if (session != null) {
                session.markOpen();
                session.task().ifPresent(t -> t.onOpened(session));
            }
        } else if (event instanceof SessionGroupsEvent.SuspectAnswer suspect) {
            mMetrics.recordSuspectAnswer(suspect.match().name().toLowerCase(Locale.ROOT));
            mDecisionLog.write(suspect.toString(), SteadyClock.nanoTime());
        } else if (event instanceof SessionGroupsEvent.ConnectionLost lost) {
            handleLoss(lost);
        } else if (event instanceof SessionGroupsEvent.SessionEnded ended) {
            group(ended.end().group())
                    .ifPresent(g -> g.endWork(ended.origin(), ended.end().session()));
        } else if (event instanceof SessionGroupsEvent.HostEnding ending) {
            mCallsEnded = Optional.of(ending.callsEnded());
        } else if (event instanceof SessionGroupsEvent.OriginLost lost) {
            List.copyOf(mGroups.values()).forEach(g -> g.onOriginLost(lost.origin()));
        } else if (event instanceof SessionGroupsEvent.ViewChanged changed) {
            changeView(changed.view());
        } else if (event instanceof SessionGroupsEvent.PromotionAnswered promotion) {
            group(promotion.group())
                    .filter(g -> g.epoch() == promotion.epoch())
                    .ifPresent(
                            g ->
                                    g.failover()
                                            .onPromotionAnswer(
                                                    promotion.endpoint(), promotion.answer()));
        }
    }

    @Override
    public long onTimer(long nowNanos) {
        if (mNextTickNanos - nowNanos <= 0) {
            if (!mGroups.isEmpty()) {
                mMetrics.recordGroupsDelay((nowNanos - mNextTickNanos) / NANOS_PER_SECOND);
            }
            List.copyOf(mGroups.values()).forEach(g -> g.tick(nowNanos));
            boolean busy =
                    mGroups.values().stream()
                            .anyMatch(g -> g.activeCount() > 0 || g.history().isEmpty());
            long unusedNanos =
                    mGroups.isEmpty() ? UNUSED_TICK_INTERVAL_NANOS : IDLE_TICK_INTERVAL_NANOS;
            mNextTickNanos = nowNanos + (busy ? BUSY_TICK_INTERVAL_NANOS : unusedNanos);
        }
        if (mGroups.values().stream().allMatch(g -> g.activeCount() == 0)) {
            mCallsEnded.ifPresent(ended -> endCalls(ended, nowNanos));
        }
        // A host without leases has nothing to report but the term of a new leader.
        boolean hasLeases = !mGroups.isEmpty() || !mLastHeld.isEmpty();
        if (mReportUrgent || hasLeases && mNextReportNanos - nowNanos <= 0) {
            report(nowNanos);
        }
        if (!mWithoutTokens.isEmpty() && mNextTokenRequestNanos - nowNanos <= 0) {
            requestTokens(nowNanos);
        }
        long usageNanos = mUsage.onTimer(nowNanos);
        if (!hasLeases) {
            return Math.min(usageNanos, nowNanos + UNUSED_TICK_INTERVAL_NANOS);
        }
        long next = Math.min(usageNanos, Math.min(mNextTickNanos, mNextReportNanos));
        return mWithoutTokens.isEmpty() ? next : Math.min(next, mNextTokenRequestNanos);
    }

    private void endCalls(CompletableFuture<Void> ended, long nowNanos) {
        if (!ended.isDone()) {
            mUsage.flush(nowNanos);
            ended.complete(null);
        }
    }

    private Optional<LeasedGroup> group(GroupId id) {
        return Optional.ofNullable(mGroups.get(id)).filter(g -> !g.isReleased());
    }

    private void handleCall(HostId origin, SessionCall call) {
        long now = SteadyClock.nanoTime();
        Optional<LeasedGroup> group = group(call.group());
        if (mCallsEnded.isPresent() || group.isEmpty() || !mView.isLeaseValid(call.group(), now)) {
            refuse(origin, call);
            return;
        }
        if (call.step() != TransactionStep.CONTINUE) {
            TokenAllowance arrived = tokens(call.workspace()).withArrival(now);
            mTokens.put(call.workspace(), arrived);
            if (isLimited(call.workspace()) && arrived.available(now) == 0) {
                mWithoutTokens.add(call.workspace());
            }
        }
        group.get().submit(origin, call);
        mNextTickNanos = Math.min(mNextTickNanos, now + BUSY_TICK_INTERVAL_NANOS);
    }

    private void refuse(HostId origin, SessionCall call) {
        boolean open = call.step() == TransactionStep.CONTINUE;
        Failure failure =
                Failure.notRun(
                        open ? ErrorCode.TRANSACTION_LOST : ErrorCode.MOVED,
                        "this host does not hold the group lease");
        boolean failed =
                call.step() != TransactionStep.NONE
                        && call.statement().kind() != StatementKind.COMMIT;
        mContext.reply(origin, call.id(), SessionOutcome.failed(failure, failed));
    }

    /**
     * Callers without a key on open routes belong to no workspace and have no rate limit. A
     * workspace that this host does not know is limited: the entry host may have received another
     * configuration, and no tokens are granted for the workspace here.
     */
    private static boolean isLimited(WorkspaceId workspace) {
        return !workspace.equals(RouteCheck.ANONYMOUS);
    }

    private TokenAllowance tokens(WorkspaceId workspace) {
        return mTokens.getOrDefault(workspace, TokenAllowance.empty());
    }

    private void handleLoss(SessionGroupsEvent.ConnectionLost lost) {
        PooledSession session = mSessions.remove(lost.session());
        if (session != null) {
            session.copy().remove(session);
            Optional<SessionTask> task = session.task();
            session.close();
            task.ifPresentOrElse(
                    t -> t.onLost(session, lost.loss(), lost.text()), () -> checkEndpoint(session));
        }
    }

    /** Checks the endpoint of a lost idle connection, often the first sign that it is down. */
    private void checkEndpoint(PooledSession session) {
        mGroups.values().stream()
                .filter(g -> g.pools().contains(session.copy()))
                .findFirst()
                .ifPresent(g -> g.checkHealth(session.copy()));
    }

    private void changeView(ControlView view) {
        boolean stateChanged = mView.state() != view.state();
        // A new leader counts tokens granted by its predecessors only after they are reported.
        mReportUrgent |= mView.leaderTerm() != view.leaderTerm();
        mView = view;
        List.copyOf(mGroups.keySet()).forEach(this::closeUnleased);
        if (mGroups.isEmpty()) {
            // The leader assumes that only leaseholders spend tokens granted by earlier leaders.
            mTokens.replaceAll((workspace, tokens) -> tokens.withoutGrants());
        }
        view.leases()
                .forEach(
                        (id, lease) -> {
                            if (!mGroups.containsKey(id)) {
                                openGroup(id, lease.epoch());
                            }
                            if (lease.move()) {
                                mGroups.get(id).beginMove();
                            }
                        });
        if (stateChanged) {
            mGroups.values().stream()
                    .filter(g -> !g.isReleased())
                    .forEach(g -> g.update(GroupSettings.of(view.state(), g.id(), mDataCentre)));
        }
        long now = SteadyClock.nanoTime();
        mMetrics.setLeases(mGroups.size());
        mMetrics.setVersions(view.state().configuration().version(), view.state().version());
        view.newTokens().forEach(this::grant);
        mGroups.values().forEach(LeasedGroup::dispatch);
        mNextTickNanos = Math.min(mNextTickNanos, now + BUSY_TICK_INTERVAL_NANOS);
    }

    private void closeUnleased(GroupId id) {
        LeasedGroup group = mGroups.get(id);
        boolean sameEpoch =
                mView.lease(id).filter(lease -> lease.epoch() == group.epoch()).isPresent();
        if (!sameEpoch) {
            mGroups.remove(id);
            group.close();
            mDecisionLog.write(
                    "group " + id + " epoch " + group.epoch() + " is closed",
                    SteadyClock.nanoTime());
        }
    }

    private void openGroup(GroupId id, long epoch) {
        mDecisionLog.write("group " + id + " epoch " + epoch + " is held", SteadyClock.nanoTime());
        GroupSettings settings = GroupSettings.of(mView.state(), id, mDataCentre);
        mGroups.put(id, new LeasedGroup(id, epoch, settings, mContext));
    }

    private void grant(GrantedTokens granted) {
        mMetrics.recordGrantedTokens(granted.workspace().value(), granted.tokens());
        mTokens.put(
                granted.workspace(),
                tokens(granted.workspace()).withGrant(granted.tokens(), granted.expiresNanos()));
    }

    private void report(long nowNanos) {
        mNextReportNanos = nowNanos + REPORT_INTERVAL_NANOS;
        List<HeldLease> held =
                mGroups.values().stream()
                        .map(
                                g ->
                                        new HeldLease(
                                                g.id(),
                                                g.epoch(),
                                                0,
                                                g.isReleased(),
                                                g.activeCount(),
                                                g.failover().coveredVersion(),
                                                g.callsPerSecond()))
                        .toList();
        List<TokenDemand> demands =
                mGroups.isEmpty()
                        ? List.of()
                        : demands(mView.state().configuration().workspaces().stream(), nowNanos);
        boolean releasesChanged =
                !held.stream()
                        .filter(HeldLease::released)
                        .map(HeldLease::group)
                        .toList()
                        .equals(
                                mLastHeld.stream()
                                        .filter(HeldLease::released)
                                        .map(HeldLease::group)
                                        .toList());
        mListener.reportChanged(
                held, demands, mView.leaderTerm(), mReportUrgent || releasesChanged);
        mLastHeld = held;
        mReportUrgent = false;
        mWithoutTokens.clear();
    }

    /**
     * Requests tokens for the workspaces whose calls wait for them. A full report at each such call
     * would take more than the link of a small host carries when there are many workspaces.
     */
    private void requestTokens(long nowNanos) {
        mNextTokenRequestNanos = nowNanos + TOKEN_REQUEST_INTERVAL_NANOS;
        Configuration configuration = mView.state().configuration();
        List<TokenDemand> demands =
                demands(
                        mWithoutTokens.stream().flatMap(id -> configuration.workspace(id).stream()),
                        nowNanos);
        mWithoutTokens.clear();
        if (!demands.isEmpty() && !mGroups.isEmpty()) {
            mListener.tokensNeeded(demands);
        }
    }

    private List<TokenDemand> demands(Stream<Workspace> workspaces, long nowNanos) {
        Map<WorkspaceId, Long> queuedCalls = new HashMap<>();
        mGroups.values().stream()
                .flatMap(g -> g.queued().stream())
                .filter(run -> !run.isTokenTaken())
                .forEach(run -> queuedCalls.merge(run.call().workspace(), 1L, Long::sum));
        return workspaces
                .map(w -> demand(w, queuedCalls.getOrDefault(w.id(), 0L), nowNanos))
                .toList();
    }

    /** Returns the number of hosts that hold leases of groups and so spend rate tokens. */
    private long leaseholders() {
        return mView.state().groups().values().stream()
                .flatMap(group -> group.leaseholder().stream())
                .map(Leaseholder::host)
                .distinct()
                .count();
    }

    private TokenDemand demand(Workspace workspace, long queuedCalls, long nowNanos) {
        TokenAllowance tokens = tokens(workspace.id());
        return new TokenDemand(
                workspace.id(),
                tokens.wanted(queuedCalls, workspace.rate(), leaseholders(), nowNanos),
                tokens.spentTotal(),
                tokens.available(nowNanos));
    }

    /** Forwards the events of one connection from I/O threads to the ring. */
    private final class ConnectionListener implements EndpointSessionListener {
        private final long mSessionId;

        private ConnectionListener(long sessionId) {
            mSessionId = sessionId;
        }

        @Override
        public void onOpened() {
            offer(new SessionGroupsEvent.ConnectionOpened(mSessionId));
        }

        @Override
        public void onResult(SessionResult result) {
            offer(new SessionGroupsEvent.ResultReceived(mSessionId, result));
        }

        @Override
        public void onSuspectAnswer(AnswerMatch match, String text) {
            offer(new SessionGroupsEvent.SuspectAnswer(mSessionId, match, text));
        }

        @Override
        public void onLost(ConnectionLoss loss, String text) {
            offer(new SessionGroupsEvent.ConnectionLost(mSessionId, loss, text));
        }
    }

    private void offer(SessionGroupsEvent event) {
        if (!mOwnRing.test(event)) {
            LOG.error("endpoints: the ring of the groups duty is full, an event was dropped");
        }
    }

    /** Implements the services that the groups use. */
    private final class Context implements GroupContext {
        @Override
        public long nowNanos() {
            return SteadyClock.nanoTime();
        }

        @Override
        public boolean leaseValid(GroupId group) {
            return mView.isLeaseValid(group, SteadyClock.nanoTime());
        }

        @Override
        public boolean hasToken(WorkspaceId workspace) {
            return !isLimited(workspace) || tokens(workspace).available(SteadyClock.nanoTime()) > 0;
        }

        @Override
        public Metrics metrics() {
            return mMetrics;
        }

        @Override
        public Optional<Long> tokenWaitNanos(WorkspaceId workspace) {
            return mView.state()
                    .configuration()
                    .workspace(workspace)
                    .filter(w -> !hasToken(w.id()))
                    .map(w -> TokenAllowance.waitNanos(w.rate()));
        }

        @Override
        public void takeToken(WorkspaceId workspace) {
            tokens(workspace)
                    .spend(SteadyClock.nanoTime())
                    .ifPresent(rest -> mTokens.put(workspace, rest));
        }

        @Override
        public UsageMeter usage() {
            return mUsage;
        }

        @Override
        public PooledSession open(
                CopyPool copy, WorkspaceId workspace, Duration timeout, SessionTask task) {
            long id = mNextSessionId++;
            PooledSession session = new PooledSession(id, copy, workspace);
            session.assign(task, nowNanos());
            mSessions.put(id, session);
            copy.add(session);
            mDecisionLog.write(
                    "connection " + id + " to " + copy.record().id() + " opens for " + workspace,
                    nowNanos());
            session.setConnection(
                    mConnector.open(copy.record(), workspace, timeout, new ConnectionListener(id)));
            return session;
        }

        @Override
        public void close(PooledSession session) {
            mSessions.remove(session.id());
            session.copy().remove(session);
            session.close();
        }

        @Override
        public void reply(HostId origin, long call, SessionOutcome outcome) {
            mListener.replied(origin, new SessionReply(call, outcome));
        }

        @Override
        public void promote(GroupId group, EndpointId endpoint, long fence) {
            long expires =
                    mView.lease(group)
                            .map(ControlView.GrantedLease::expiresNanos)
                            .orElseGet(this::nowNanos);
            mPromotions.send(group, endpoint, fence, expires);
        }

        @Override
        public boolean mayPromote(GroupId group, long fence) {
            return mPromotions.isPermitted(group, fence);
        }

        @Override
        public PromotionFencing fencing() {
            return mPromotions.fencing();
        }

        @Override
        public void returnLease(GroupId group) {
            Optional.ofNullable(mGroups.get(group)).ifPresent(LeasedGroup::close);
            mReportUrgent = true;
        }

        @Override
        public void logEvent(String line) {
            LOG.info("endpoints: host {}: {}", mSelf, line);
        }

        @Override
        public void logDecision(String line) {
            mDecisionLog.write("host " + mSelf + ": " + line, nowNanos());
        }
    }
}
