package org.crocusturn.daemon;

import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.UnaryOperator;
import java.util.stream.Collectors;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.crocusturn.core.ErrorCode;
import org.crocusturn.core.Failure;
import org.crocusturn.core.HostId;
import org.crocusturn.core.PeerMessage;
import org.crocusturn.core.callers.Outcome;
import org.crocusturn.core.callers.SessionOutcome;
import org.crocusturn.core.callers.TransactionStep;
import org.crocusturn.core.controlhosts.ControlView;
import org.crocusturn.core.controlhosts.EntryHost;
import org.crocusturn.core.controlhosts.HeldLease;
import org.crocusturn.core.controlhosts.LeaseDrain;
import org.crocusturn.core.controlhosts.Member;
import org.crocusturn.core.controlhosts.TokenDemand;
import org.crocusturn.core.entryhosts.ForwardedRequest;
import org.crocusturn.core.entryhosts.LeaseholderLink;
import org.crocusturn.core.entryhosts.SessionCall;
import org.crocusturn.core.entryhosts.SessionEnd;
import org.crocusturn.core.entryhosts.SessionReply;
import org.crocusturn.core.operators.Leaseholder;
import org.crocusturn.core.operators.UsageWindow;
import org.crocusturn.core.platform.Phase;
import org.crocusturn.core.platform.UsageWindows;
import org.crocusturn.core.ring.BudgetedHandler;
import org.crocusturn.core.ring.ByteBudget;
import org.crocusturn.core.ring.Duty;
import org.crocusturn.core.ring.DutyHandler;
import org.crocusturn.core.ring.FailureHandler;
import org.crocusturn.core.ring.MemoryBudget;
import org.crocusturn.core.ring.SteadyClock;
import org.crocusturn.daemon.callers.SessionDispatcher;
import org.crocusturn.daemon.callers.SessionEvent;
import org.crocusturn.daemon.callers.SessionsDuty;
import org.crocusturn.daemon.controlhosts.ControlLinkDuty;
import org.crocusturn.daemon.controlhosts.ControlLinkEvent;
import org.crocusturn.daemon.controlhosts.UsageSender;
import org.crocusturn.daemon.endpoints.CallMemory;
import org.crocusturn.daemon.endpoints.EndpointConnector;
import org.crocusturn.daemon.endpoints.NoUsageMeter;
import org.crocusturn.daemon.endpoints.PromotionService;
import org.crocusturn.daemon.endpoints.SessionGroupsDuty;
import org.crocusturn.daemon.endpoints.SessionGroupsEvent;
import org.crocusturn.daemon.endpoints.SessionGroupsListener;
import org.crocusturn.daemon.endpoints.UsageCounting;
import org.crocusturn.daemon.endpoints.UsageMeter;
import org.crocusturn.daemon.entryhosts.EntryLinks;
import org.crocusturn.daemon.entryhosts.EntryLinksListener;
import org.crocusturn.daemon.net.Addresses;
import org.crocusturn.daemon.net.LinkClient;
import org.crocusturn.daemon.net.NetThreads;
import org.crocusturn.daemon.net.PeerLink;
import org.crocusturn.daemon.net.PeerLinkHandler;
import org.crocusturn.daemon.net.SharedSecret;
import org.crocusturn.daemon.platform.LifecycleDuty;
import org.crocusturn.daemon.platform.LifecycleEvent;
import org.crocusturn.daemon.platform.Metrics;
import org.crocusturn.daemon.settings.SessionEntrySettings;

/** Entry host that serves sessions; its front end submits {@link SessionEvent}s. */
public final class SessionEntryDaemon implements AutoCloseable {
    private static final Logger LOG = LogManager.getLogger(SessionEntryDaemon.class);

    /** Components whose work a planned stop waits for. */
    private static final String SESSIONS = "sessions";

    private static final String LEASES = "leases";
    private static final int RING_CAPACITY = 65_536;
    private static final int SMALL_RING_CAPACITY = 4_096;

    /** Maximum number of queued caller events; the rest of the ring is reserved for replies. */
    private static final int MAX_QUEUED_EVENTS = 16_384;

    /**
     * Time for which the host serves sessions after its state ceased to be fresh. Both together are
     * 2 s; a change of the control leader takes about 1 s.
     */
    private static final Duration STATE_GRACE = Duration.ofMillis(500);

    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(1);

    /** Time by which the phases of a stop may end late on a busy machine. */
    private static final Duration PHASE_DELAY = Duration.ofMillis(200);

    private final SessionEntrySettings mSettings;
    private final NetThreads mThreads;
    private final SharedSecret mSecret;
    private final ByteBudget mAnswers;
    private final CallMemory mCallMemory;
    private final AtomicReference<ControlView> mView;
    private final AtomicReference<LeaseDrain> mDrain = new AtomicReference<>(LeaseDrain.NONE);
    private final AtomicBoolean mStateReceived = new AtomicBoolean();
    private final CountDownLatch mStopped = new CountDownLatch(1);
    private final Map<InetSocketAddress, LinkClient> mControlLinks = new ConcurrentHashMap<>();
    private final Map<HostId, PeerLink> mOpenControlLinks = new ConcurrentHashMap<>();
    private final EntryLinks mEntryLinks;
    private final Duty<LifecycleEvent> mLifecycleDuty;
    private final Duty<SessionEvent> mSessionsDuty;
    private final Duty<SessionGroupsEvent> mGroupsDuty;
    private final Duty<ControlLinkEvent> mControlLinkDuty;
    private volatile Phase mPhase = Phase.STARTING;

    private SessionEntryDaemon(
            SessionEntrySettings settings,
            NetThreads threads,
            EndpointConnector connector,
            PromotionService promotions,
            MemoryBudget memory,
            Metrics metrics) {
        mAnswers = memory.share(MemoryBudget.Purpose.ANSWERS);
        mCallMemory = CallMemory.of(memory.share(MemoryBudget.Purpose.CALLS));
        mSettings = settings;
        mThreads = threads;
        mSecret = SharedSecret.of(settings.linkSecret().bytes());
        ControlView empty = ControlView.empty();
        mView = new AtomicReference<>(empty);
        mLifecycleDuty =
                start(
                        "lifecycle",
                        SMALL_RING_CAPACITY,
                        LifecycleDuty.create(
                                settings.balancerDelay(),
                                settings.drainLimit(),
                                Set.of(SESSIONS, LEASES),
                                this::onPhaseChanged));
        mEntryLinks =
                EntryLinks.start(
                        threads, settings.link(), settings.host(), mSecret, new EntryLinkEvents());
        EntryHost self =
                new EntryHost(
                        settings.host(),
                        new SecureRandom().nextLong(),
                        settings.dataCentre(),
                        Addresses.format(mEntryLinks.address()),
                        settings.relayCapacity());
        Optional<UsageWindows> windows = settings.metering().map(m -> new UsageWindows(m.window()));
        Optional<UsageSender> usage =
                windows.map(w -> UsageSender.create(self, w, this::sendToControlHost));
        mControlLinkDuty =
                start(
                        "control-link",
                        SMALL_RING_CAPACITY,
                        ControlLinkDuty.create(
                                self,
                                empty,
                                this::sendToControlHost,
                                this::onViewChanged,
                                this::onMembersChanged,
                                usage));
        mGroupsDuty =
                start(
                        "groups",
                        RING_CAPACITY,
                        BudgetedHandler.of(
                                SessionGroupsDuty.create(
                                        settings.host(),
                                        settings.dataCentre(),
                                        empty,
                                        connector,
                                        promotions,
                                        this::offerToGroupsDuty,
                                        new GroupResults(),
                                        meter(windows, usage),
                                        metrics),
                                mAnswers,
                                SessionEntryDaemon::answerBytes));
        mSessionsDuty =
                start(
                        "sessions",
                        RING_CAPACITY,
                        SessionsDuty.create(
                                empty,
                                new Dispatcher(),
                                (phase, count) -> reportRemainingWork(SESSIONS, count, phase),
                                this::hasCurrentState,
                                settings.transactionLimit(),
                                metrics));
        connect(settings.controlLinks());
    }

    /**
     * Starts an entry host.
     *
     * @param settings settings of the host
     * @param threads I/O threads; the daemon closes them
     * @param connector opens connections to endpoints
     * @param promotions requests promotions
     * @param memory memory of the process by purpose
     * @param metrics metrics of the process
     */
    public static SessionEntryDaemon start(
            SessionEntrySettings settings,
            NetThreads threads,
            EndpointConnector connector,
            PromotionService promotions,
            MemoryBudget memory,
            Metrics metrics) {
        return new SessionEntryDaemon(
                Objects.requireNonNull(settings, "settings"),
                Objects.requireNonNull(threads, "threads"),
                Objects.requireNonNull(connector, "connector"),
                Objects.requireNonNull(promotions, "promotions"),
                Objects.requireNonNull(memory, "memory"),
                Objects.requireNonNull(metrics, "metrics"));
    }

    /**
     * Queues an event of the front end; returns false if the queue is full. The end of a session
     * may use the space that is reserved for replies, because a lost one would leave the session
     * open until the limit of a drain.
     */
    public boolean offer(SessionEvent event) {
        return event instanceof SessionEvent.SessionEnded
                ? mSessionsDuty.offer(event)
                : mSessionsDuty.offer(event, MAX_QUEUED_EVENTS);
    }

    /** Returns whether the host accepts new sessions. */
    public boolean isReady() {
        return mPhase == Phase.SERVING && hasCurrentState();
    }

    private boolean hasCurrentState() {
        return mView.get().isFresh(SteadyClock.nanoTime() - STATE_GRACE.toNanos());
    }

    /** Opens links to the control hosts that have none yet. */
    public void connect(Collection<InetSocketAddress> controlLinks) {
        controlLinks.forEach(
                address ->
                        mControlLinks.computeIfAbsent(
                                address,
                                a ->
                                        LinkClient.start(
                                                mThreads,
                                                a,
                                                mSettings.host(),
                                                mSecret,
                                                new ControlLinkEvents())));
    }

    /** Requests a planned stop; does not wait for it. */
    public void requestStop() {
        mLifecycleDuty.offer(new LifecycleEvent.StopRequested());
    }

    /**
     * Stops the host as planned and waits until it has stopped, but little longer than the phases
     * of a stop may last together.
     */
    public void stop() throws InterruptedException {
        requestStop();
        Duration limit = mSettings.balancerDelay().plus(mSettings.drainLimit()).plus(PHASE_DELAY);
        if (!mStopped.await(limit.toNanos(), TimeUnit.NANOSECONDS)) {
            LOG.error("platform: the lifecycle duty has not ended the stop within {}", limit);
        }
    }

    /**
     * Refuses new calls of groups from now on, and waits until those that were accepted have ended
     * and their replies have left.
     *
     * @param limit maximum time to wait
     */
    public void endCalls(Duration limit) {
        CompletableFuture<Void> ended = new CompletableFuture<>();
        if (mGroupsDuty.offer(new SessionGroupsEvent.HostEnding(ended))) {
            ended.completeOnTimeout(null, limit.toMillis(), TimeUnit.MILLISECONDS).join();
        }
        mThreads.awaitTasks(limit);
    }

    /** Answers the statements that have no answer yet with what is known of each. */
    public void answerOpenStatements() {
        if (!mSessionsDuty.offer(new SessionEvent.HostEnding())) {
            LOG.error("callers: open statements get no answer because the ring is full");
        }
    }

    /** Waits until the host has stopped. */
    public void awaitStopped() throws InterruptedException {
        mStopped.await();
    }

    @Override
    public void close() {
        mControlLinks.values().forEach(LinkClient::close);
        mEntryLinks.close();
        mSessionsDuty.stop(STOP_TIMEOUT);
        mGroupsDuty.stop(STOP_TIMEOUT);
        mControlLinkDuty.stop(STOP_TIMEOUT);
        mLifecycleDuty.stop(STOP_TIMEOUT);
        mThreads.close();
        mStopped.countDown();
    }

    private <E> Duty<E> start(String name, int capacity, DutyHandler<E> handler) {
        return Duty.start(mSettings.host() + "-" + name, capacity, handler, FailureHandler.ENDING);
    }

    private void reportRemainingWork(String component, int remaining, Phase phase) {
        mLifecycleDuty.offer(new LifecycleEvent.RemainingWorkChanged(component, remaining, phase));
    }

    private boolean offerToGroupsDuty(SessionGroupsEvent event) {
        long bytes = answerBytes(event);
        mAnswers.reserve(bytes);
        boolean offered = mGroupsDuty.offer(event);
        if (!offered) {
            mAnswers.release(bytes);
        }
        return offered;
    }

    private static long answerBytes(SessionGroupsEvent event) {
        return event instanceof SessionGroupsEvent.ResultReceived received
                ? received.result().countedBytes()
                : 0;
    }

    private UsageMeter meter(Optional<UsageWindows> windows, Optional<UsageSender> sender) {
        Optional<UsageMeter> meter =
                sender.map(
                        s ->
                                UsageCounting.create(
                                        windows.orElseThrow(),
                                        s::trueTimeMillis,
                                        this::offerUsage));
        return meter.orElseGet(NoUsageMeter::new);
    }

    private boolean offerUsage(List<UsageWindow> changed) {
        return mControlLinkDuty.offer(new ControlLinkEvent.UsageCounted(changed));
    }

    private boolean sendToControlHost(HostId host, PeerMessage message) {
        PeerLink link = mOpenControlLinks.get(host);
        return link != null && link.send(message);
    }

    private void onMembersChanged(List<Member> members) {
        Set<InetSocketAddress> addresses =
                members.stream()
                        .map(m -> Addresses.parse(m.linkAddress()))
                        .collect(Collectors.toSet());
        addresses.addAll(mSettings.controlLinks());
        connect(addresses);
        mControlLinks
                .entrySet()
                .removeIf(e -> !addresses.contains(e.getKey()) && closeLink(e.getValue()));
    }

    private static boolean closeLink(LinkClient client) {
        client.close();
        return true;
    }

    private void onViewChanged(ControlView view) {
        ControlView previous = mView.getAndSet(view);
        mGroupsDuty.offer(new SessionGroupsEvent.ViewChanged(view));
        if (previous.state() != view.state()) {
            mSessionsDuty.offer(new SessionEvent.ViewChanged(view));
            mEntryLinks.updateLinks(view.state().leaseholderLinkAddresses(mSettings.host()));
        }
        updateDrain(drain -> drain.withView(view, SteadyClock.nanoTime()));
        boolean hasConfiguration = view.state().configuration().version() > 0;
        if (hasConfiguration && mStateReceived.compareAndSet(false, true)) {
            mLifecycleDuty.offer(new LifecycleEvent.StateReceived());
        }
    }

    private void updateDrain(UnaryOperator<LeaseDrain> change) {
        Phase phase = mPhase;
        reportRemainingWork(
                LEASES, mDrain.updateAndGet(change).remaining(SteadyClock.nanoTime()), phase);
    }

    private void onPhaseChanged(Phase phase) {
        mPhase = phase;
        mSessionsDuty.offer(new SessionEvent.PhaseChanged(phase));
        if (phase == Phase.LEAVING || phase == Phase.DRAINING) {
            updateDrain(drain -> drain.withStopping(SteadyClock.nanoTime()));
            mControlLinkDuty.offer(new ControlLinkEvent.HostStopping());
        }
        if (phase == Phase.STOPPED) {
            mStopped.countDown();
        }
    }

    /** Passes calls to this host or to a remote leaseholder. */
    private final class Dispatcher implements SessionDispatcher {
        @Override
        public boolean call(Leaseholder holder, SessionCall call) {
            return holder.host().equals(mSettings.host())
                    ? mGroupsDuty.offer(
                            new SessionGroupsEvent.CallArrived(mSettings.host(), call),
                            MAX_QUEUED_EVENTS)
                    : mEntryLinks.send(holder.linkAddress(), call);
        }

        @Override
        public Optional<LeaseholderLink> link(Leaseholder holder) {
            return holder.host().equals(mSettings.host())
                    ? Optional.empty()
                    : Optional.of(mEntryLinks.link(holder.linkAddress()));
        }

        @Override
        public void end(Leaseholder holder, SessionEnd end) {
            if (holder.host().equals(mSettings.host())) {
                mGroupsDuty.offer(new SessionGroupsEvent.SessionEnded(mSettings.host(), end));
            } else if (!mEntryLinks.send(holder.linkAddress(), end)) {
                LOG.debug(
                        "entryhosts: session end unsent; {} is unreachable and drops transactions",
                        holder.host());
            }
        }
    }

    /** Passes the events of links between entry hosts to the duties. */
    private final class EntryLinkEvents implements EntryLinksListener {
        @Override
        public void onRequest(HostId origin, ForwardedRequest request) {
            LOG.warn(
                    "entryhosts: dropped a request from {} because this host serves only sessions",
                    origin);
        }

        @Override
        public void onReply(long attempt, Outcome outcome) {
            LOG.warn("entryhosts: dropped a reply because this host serves only sessions");
        }

        @Override
        public void onSessionCall(HostId origin, SessionCall call) {
            if (!mCallMemory.tryReserve(origin, call)) {
                refuse(origin, call);
            } else if (!mGroupsDuty.offer(
                    new SessionGroupsEvent.CallArrived(origin, call), MAX_QUEUED_EVENTS)) {
                mCallMemory.release(origin, call.id());
                refuse(origin, call);
            }
        }

        private void refuse(HostId origin, SessionCall call) {
            Failure overloaded =
                    Failure.notRun(ErrorCode.OVERLOADED, "the leaseholder is overloaded");
            boolean inTransaction = call.step() != TransactionStep.NONE;
            mEntryLinks.reply(
                    origin,
                    new SessionReply(call.id(), SessionOutcome.failed(overloaded, inTransaction)));
        }

        @Override
        public void onSessionEnd(HostId origin, SessionEnd end) {
            mGroupsDuty.offer(new SessionGroupsEvent.SessionEnded(origin, end));
        }

        @Override
        public void onSessionReply(SessionReply reply) {
            mSessionsDuty.offer(new SessionEvent.ReplyReceived(reply));
        }

        @Override
        public void onOriginLost(HostId origin) {
            mCallMemory.releaseAll(origin);
            mGroupsDuty.offer(new SessionGroupsEvent.OriginLost(origin));
        }

        @Override
        public void onLinkLost(HostId host) {
            mSessionsDuty.offer(new SessionEvent.LinkLost(host));
        }
    }

    /** Passes the results of the groups duty to the other duties and to entry hosts. */
    private final class GroupResults implements SessionGroupsListener {
        @Override
        public void replied(HostId origin, SessionReply reply) {
            mCallMemory.release(origin, reply.id());
            if (origin.equals(mSettings.host())) {
                mSessionsDuty.offer(new SessionEvent.ReplyReceived(reply));
            } else {
                mEntryLinks.reply(origin, reply);
            }
        }

        @Override
        public void reportChanged(
                List<HeldLease> leases,
                List<TokenDemand> demands,
                long holdingsTerm,
                boolean urgent) {
            updateDrain(drain -> drain.withWork(leases));
            mControlLinkDuty.offer(
                    new ControlLinkEvent.ReportChanged(leases, demands, holdingsTerm, urgent));
        }

        @Override
        public void tokensNeeded(List<TokenDemand> demands) {
            mControlLinkDuty.offer(new ControlLinkEvent.TokensNeeded(demands));
        }
    }

    /** Passes the events of links to control hosts to the control link duty. */
    private final class ControlLinkEvents implements PeerLinkHandler {
        @Override
        public void onOpen(PeerLink link) {
            mOpenControlLinks.put(link.peer(), link);
            mControlLinkDuty.offer(new ControlLinkEvent.LinkOpened(link.peer()));
        }

        @Override
        public void onMessage(PeerLink link, PeerMessage message) {
            mControlLinkDuty.offer(new ControlLinkEvent.MessageReceived(link.peer(), message));
        }

        @Override
        public void onClosed(PeerLink link) {
            if (mOpenControlLinks.remove(link.peer(), link)) {
                mControlLinkDuty.offer(new ControlLinkEvent.LinkClosed(link.peer()));
            }
        }
    }
}
