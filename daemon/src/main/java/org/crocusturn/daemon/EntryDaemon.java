package org.crocusturn.daemon;

import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.UnaryOperator;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.ErrorCode;
import org.crocusturn.core.Failure;
import org.crocusturn.core.HostId;
import org.crocusturn.core.PeerMessage;
import org.crocusturn.core.callers.GroupRequest;
import org.crocusturn.core.callers.Outcome;
import org.crocusturn.core.controlhosts.ControlView;
import org.crocusturn.core.controlhosts.EntryHost;
import org.crocusturn.core.controlhosts.EntryReport;
import org.crocusturn.core.controlhosts.HeldLease;
import org.crocusturn.core.controlhosts.LeaseDrain;
import org.crocusturn.core.controlhosts.TokenDemand;
import org.crocusturn.core.entryhosts.CallerRequest;
import org.crocusturn.core.entryhosts.ForwardedRequest;
import org.crocusturn.core.platform.Phase;
import org.crocusturn.core.ring.Duty;
import org.crocusturn.core.ring.FailureHandler;
import org.crocusturn.core.ring.SteadyClock;
import org.crocusturn.daemon.callers.CallerFrontEnd;
import org.crocusturn.daemon.callers.IngressDuty;
import org.crocusturn.daemon.callers.IngressEvent;
import org.crocusturn.daemon.callers.IngressSink;
import org.crocusturn.daemon.callers.RequestDispatcher;
import org.crocusturn.daemon.callers.SessionTokenCodec;
import org.crocusturn.daemon.controlhosts.ControlLinkDuty;
import org.crocusturn.daemon.controlhosts.ControlLinkEvent;
import org.crocusturn.daemon.endpoints.GroupsDuty;
import org.crocusturn.daemon.endpoints.GroupsEvent;
import org.crocusturn.daemon.endpoints.GroupsListener;
import org.crocusturn.daemon.endpoints.StatusMonitor;
import org.crocusturn.daemon.entryhosts.EntryLinks;
import org.crocusturn.daemon.entryhosts.EntryLinksListener;
import org.crocusturn.daemon.net.Addresses;
import org.crocusturn.daemon.net.HttpLimits;
import org.crocusturn.daemon.net.HttpServer;
import org.crocusturn.daemon.net.LinkClient;
import org.crocusturn.daemon.net.NetThreads;
import org.crocusturn.daemon.net.PeerLink;
import org.crocusturn.daemon.net.PeerLinkHandler;
import org.crocusturn.daemon.net.SharedSecret;
import org.crocusturn.daemon.platform.HealthRoutes;
import org.crocusturn.daemon.platform.LifecycleDuty;
import org.crocusturn.daemon.platform.LifecycleEvent;
import org.crocusturn.daemon.platform.Metrics;
import org.crocusturn.daemon.platform.PlatformRoutes;
import org.crocusturn.daemon.settings.EntrySettings;
import org.crocusturn.daemon.settings.PeerAddress;

/** Entry host: connects its duties, links and HTTP servers. */
public final class EntryDaemon implements AutoCloseable {
    private static final Logger LOG = LogManager.getLogger(EntryDaemon.class);
    private static final int IO_THREADS = 2;

    /** Components whose work a planned stop waits for. */
    private static final String INGRESS = "ingress";

    private static final String LEASES = "leases";
    private static final int RING_CAPACITY = 65_536;
    private static final int SMALL_RING_CAPACITY = 4_096;

    /** Maximum number of queued requests; the rest of the ring is reserved for results. */
    private static final int MAX_QUEUED_REQUESTS = 16_384;

    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(2);

    private final EntrySettings mSettings;
    private final NetThreads mThreads;
    private final Metrics mMetrics = Metrics.create();
    private final AtomicReference<ControlView> mView;
    private final AtomicReference<LeaseDrain> mDrain = new AtomicReference<>(LeaseDrain.NONE);
    private final AtomicBoolean mStateReceived = new AtomicBoolean();
    private volatile Phase mPhase = Phase.STARTING;
    private final CountDownLatch mStopped = new CountDownLatch(1);
    private final Map<HostId, LinkClient> mControlLinks = new ConcurrentHashMap<>();
    private final Duty<LifecycleEvent> mLifecycleDuty;
    private final Duty<IngressEvent> mIngressDuty;
    private final Duty<GroupsEvent> mGroupsDuty;
    private final Duty<ControlLinkEvent> mControlLinkDuty;
    private final StatusMonitor mStatusMonitor;
    private final EntryLinks mEntryLinks;
    private final HttpServer mCallerServer;
    private final HttpServer mPlatformServer;

    private EntryDaemon(EntrySettings settings) {
        mSettings = settings;
        mThreads = NetThreads.start(settings.host().value(), IO_THREADS);
        ControlView empty = ControlView.empty();
        mView = new AtomicReference<>(empty);
        SharedSecret linkSecret = SharedSecret.of(settings.linkSecret().bytes());
        SessionTokenCodec tokens =
                SessionTokenCodec.of(SharedSecret.of(settings.sessionSecret().bytes()));
        mLifecycleDuty = startLifecycle();
        mEntryLinks =
                EntryLinks.start(
                        mThreads,
                        settings.link(),
                        settings.host(),
                        linkSecret,
                        new EntryLinkEvents());
        mControlLinkDuty = startControlLink(empty);
        mStatusMonitor =
                StatusMonitor.start(
                        mThreads,
                        observation ->
                                offerToGroupsDuty(new GroupsEvent.EndpointObserved(observation)));
        mGroupsDuty = startGroups(empty);
        mIngressDuty = startIngress(empty, tokens);
        settings.controlHosts().forEach(peer -> connectToControlHost(peer, linkSecret));
        mCallerServer =
                HttpServer.start(
                        mThreads,
                        settings.callers(),
                        HttpLimits.DEFAULT,
                        HealthRoutes.create(mLifecycleDuty, createFrontEnd(tokens)));
        mPlatformServer =
                HttpServer.start(
                        mThreads,
                        settings.platform().address(),
                        HttpLimits.DEFAULT,
                        HealthRoutes.create(mLifecycleDuty, PlatformRoutes.create(mMetrics)));
        LOG.info(
                "platform: entry host {} in {} listens for callers at {}",
                settings.host(),
                settings.dataCentre(),
                Addresses.format(mCallerServer.address()));
    }

    /** Starts an entry host. */
    public static EntryDaemon start(EntrySettings settings) {
        return new EntryDaemon(settings);
    }

    /** Returns the address of the interface for callers. */
    public InetSocketAddress callersAddress() {
        return mCallerServer.address();
    }

    /** Returns the address of the health and metrics routes. */
    public InetSocketAddress platformAddress() {
        return mPlatformServer.address();
    }

    /** Returns whether the host has a fresh state of the system and accepts work. */
    public boolean isReady() {
        return mStateReceived.get() && mView.get().isFresh(SteadyClock.nanoTime());
    }

    /** Returns the latest control view. */
    public ControlView view() {
        return mView.get();
    }

    /** Requests a planned stop; does not wait for it. */
    public void requestStop() {
        mLifecycleDuty.offer(new LifecycleEvent.StopRequested());
    }

    /** Returns whether the host has stopped. */
    public boolean isStopped() {
        return mStopped.getCount() == 0;
    }

    /** Waits until the host has stopped and the last answers have left. */
    public void awaitStopped() throws InterruptedException {
        mStopped.await();
        mCallerServer.stop(STOP_TIMEOUT);
    }

    @Override
    public void close() {
        mCallerServer.close();
        mPlatformServer.close();
        mControlLinks.values().forEach(LinkClient::close);
        mEntryLinks.close();
        mStatusMonitor.close();
        mIngressDuty.stop(STOP_TIMEOUT);
        mGroupsDuty.stop(STOP_TIMEOUT);
        mControlLinkDuty.stop(STOP_TIMEOUT);
        mLifecycleDuty.stop(STOP_TIMEOUT);
        mThreads.close();
        mStopped.countDown();
    }

    private CallerFrontEnd createFrontEnd(SessionTokenCodec tokens) {
        IngressSink sink =
                IngressSink.create(
                        (event, limit) -> mIngressDuty.offer(event, limit),
                        mView::get,
                        tokens,
                        CallerRequest.DEFAULT_TIMEOUT);
        return CallerFrontEnd.create(
                sink, () -> new HashSet<>(mView.get().state().configuration().openRoutes()));
    }

    private Duty<LifecycleEvent> startLifecycle() {
        return start(
                "lifecycle",
                SMALL_RING_CAPACITY,
                LifecycleDuty.create(
                        mSettings.platform().balancerDelay(),
                        mSettings.platform().drainLimit(),
                        Set.of(INGRESS, LEASES),
                        this::onPhaseChanged));
    }

    private Duty<GroupsEvent> startGroups(ControlView empty) {
        return start(
                "groups",
                RING_CAPACITY,
                GroupsDuty.create(
                        empty,
                        mThreads,
                        this::offerToGroupsDuty,
                        new GroupResults(),
                        new StatusMonitorAdapter(),
                        mMetrics));
    }

    private Duty<IngressEvent> startIngress(ControlView empty, SessionTokenCodec tokens) {
        return start(
                "ingress",
                RING_CAPACITY,
                IngressDuty.create(
                        mSettings.host(),
                        empty,
                        new Dispatcher(),
                        tokens,
                        mMetrics,
                        (phase, count) -> reportRemainingWork(INGRESS, count, phase)));
    }

    private Duty<ControlLinkEvent> startControlLink(ControlView empty) {
        EntryHost self =
                new EntryHost(
                        mSettings.host(),
                        new SecureRandom().nextLong(),
                        mSettings.dataCentre(),
                        Addresses.format(mEntryLinks.address()),
                        0);
        return start(
                "control-link",
                SMALL_RING_CAPACITY,
                ControlLinkDuty.create(
                        self, empty, this::sendReport, this::onViewChanged, members -> {}));
    }

    private <E> Duty<E> start(
            String name, int capacity, org.crocusturn.core.ring.DutyHandler<E> handler) {
        return Duty.start(mSettings.host() + "-" + name, capacity, handler, FailureHandler.ENDING);
    }

    private boolean offerToGroupsDuty(GroupsEvent event) {
        return mGroupsDuty.offer(event);
    }

    private boolean sendReport(HostId host, EntryReport report) {
        LinkClient link = mControlLinks.get(host);
        return link != null && link.send(report);
    }

    private void connectToControlHost(PeerAddress peer, SharedSecret secret) {
        mControlLinks.put(
                peer.host(),
                LinkClient.start(
                        mThreads,
                        peer.address(),
                        mSettings.host(),
                        secret,
                        new ControlLinkEvents()));
    }

    private void onViewChanged(ControlView view) {
        ControlView previous = mView.getAndSet(view);
        mIngressDuty.offer(new IngressEvent.ViewChanged(view));
        mGroupsDuty.offer(new GroupsEvent.ViewChanged(view));
        if (previous.state() != view.state()) {
            mEntryLinks.updateLinks(view.state().leaseholderLinkAddresses(mSettings.host()));
        }
        updateDrain(drain -> drain.withView(view, SteadyClock.nanoTime()));
        if (mStateReceived.compareAndSet(false, true)) {
            mLifecycleDuty.offer(new LifecycleEvent.StateReceived());
        }
    }

    private void updateDrain(UnaryOperator<LeaseDrain> change) {
        Phase phase = mPhase;
        reportRemainingWork(
                LEASES, mDrain.updateAndGet(change).remaining(SteadyClock.nanoTime()), phase);
    }

    private void reportRemainingWork(String component, int remaining, Phase phase) {
        mLifecycleDuty.offer(new LifecycleEvent.RemainingWorkChanged(component, remaining, phase));
    }

    private void onPhaseChanged(Phase phase) {
        mPhase = phase;
        mIngressDuty.offer(new IngressEvent.PhaseChanged(phase));
        if (phase == Phase.LEAVING || phase == Phase.DRAINING) {
            updateDrain(drain -> drain.withStopping(SteadyClock.nanoTime()));
            mControlLinkDuty.offer(new ControlLinkEvent.HostStopping());
        }
        if (phase == Phase.DRAINING) {
            // A refused connection makes a caller try another host immediately.
            mCallerServer.stopAccepting();
        }
        if (phase == Phase.STOPPED) {
            mStopped.countDown();
        }
    }

    /** Passes requests of the ingress duty to this host or to a remote leaseholder. */
    private final class Dispatcher implements RequestDispatcher {
        @Override
        public boolean dispatchLocally(GroupRequest request, long epoch) {
            return mGroupsDuty.offer(
                    new GroupsEvent.RequestArrived(
                            mSettings.host(), new ForwardedRequest(request, epoch)),
                    MAX_QUEUED_REQUESTS);
        }

        @Override
        public boolean forward(HostId host, String address, ForwardedRequest request) {
            return mEntryLinks.forward(address, request);
        }
    }

    /** Passes the events of links between entry hosts to the duties. */
    private final class EntryLinkEvents implements EntryLinksListener {
        @Override
        public void onRequest(HostId origin, ForwardedRequest request) {
            if (mGroupsDuty == null
                    || !mGroupsDuty.offer(
                            new GroupsEvent.RequestArrived(origin, request), MAX_QUEUED_REQUESTS)) {
                mEntryLinks.reply(
                        origin,
                        request.request().id(),
                        new Outcome.Failed(
                                Failure.notRun(
                                        ErrorCode.OVERLOADED, "the leaseholder is overloaded")));
            }
        }

        @Override
        public void onReply(long attempt, Outcome outcome) {
            mIngressDuty.offer(new IngressEvent.ReplyReceived(attempt, outcome));
        }

        @Override
        public void onLinkLost(HostId host) {
            mIngressDuty.offer(new IngressEvent.LinkLost(host));
        }
    }

    /** Passes the results of the groups duty to the other duties and to entry hosts. */
    private final class GroupResults implements GroupsListener {
        @Override
        public void replied(HostId origin, long request, Outcome outcome) {
            if (origin.equals(mSettings.host())) {
                mIngressDuty.offer(new IngressEvent.ReplyReceived(request, outcome));
            } else {
                mEntryLinks.reply(origin, request, outcome);
            }
        }

        @Override
        public void reportChanged(
                List<HeldLease> leases, List<TokenDemand> demands, boolean urgent) {
            updateDrain(drain -> drain.withWork(leases));
            mControlLinkDuty.offer(new ControlLinkEvent.ReportChanged(leases, demands, 0, urgent));
        }

        @Override
        public void endpointSuspected(EndpointId endpoint) {
            mControlLinkDuty.offer(new ControlLinkEvent.EndpointSuspected(endpoint));
        }
    }

    /** Monitors endpoints with {@link StatusMonitor}. */
    private final class StatusMonitorAdapter implements GroupsDuty.EndpointMonitor {
        @Override
        public void watch(EndpointId endpoint, String statusAddress) {
            mStatusMonitor.watch(endpoint, statusAddress);
        }

        @Override
        public void unwatch(EndpointId endpoint) {
            mStatusMonitor.unwatch(endpoint);
        }
    }

    /** Passes the events of links to control hosts to the control link duty. */
    private final class ControlLinkEvents implements PeerLinkHandler {
        @Override
        public void onOpen(PeerLink link) {
            mControlLinkDuty.offer(new ControlLinkEvent.LinkOpened(link.peer()));
        }

        @Override
        public void onMessage(PeerLink link, PeerMessage message) {
            mControlLinkDuty.offer(new ControlLinkEvent.MessageReceived(link.peer(), message));
        }

        @Override
        public void onClosed(PeerLink link) {
            mControlLinkDuty.offer(new ControlLinkEvent.LinkClosed(link.peer()));
        }
    }
}
