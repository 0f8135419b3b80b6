package org.crocusturn.daemon;

import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
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
import org.crocusturn.core.controlhosts.TokenDemand;
import org.crocusturn.core.entryhosts.CallerRequest;
import org.crocusturn.core.entryhosts.ForwardedRequest;
import org.crocusturn.core.platform.Phase;
import org.crocusturn.core.ring.Duty;
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

/** Is an entry host: wires its duties, links and servers together. */
public final class EntryDaemon implements AutoCloseable {
    private static final Logger LOG = LogManager.getLogger(EntryDaemon.class);
    private static final int IO_THREADS = 2;
    private static final int RING = 65_536;
    private static final int SMALL_RING = 4_096;

    /** Requests that may wait for the groups duty; the rest of its ring is kept for results. */
    private static final int MAX_WAITING = 16_384;

    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(2);

    private final EntrySettings mSettings;
    private final NetThreads mThreads;
    private final Metrics mMetrics = Metrics.create();
    private final AtomicReference<ControlView> mView;
    private final AtomicBoolean mStateKnown = new AtomicBoolean();
    private final CountDownLatch mStopped = new CountDownLatch(1);
    private final Map<HostId, LinkClient> mControlLinks = new ConcurrentHashMap<>();
    private final Duty<LifecycleEvent> mLifecycle;
    private final Duty<IngressEvent> mIngress;
    private final Duty<GroupsEvent> mGroups;
    private final Duty<ControlLinkEvent> mControl;
    private final StatusMonitor mMonitor;
    private final EntryLinks mLinks;
    private final HttpServer mCallers;
    private final HttpServer mPlatform;

    private EntryDaemon(EntrySettings settings) {
        mSettings = settings;
        mThreads = NetThreads.start(settings.host().value(), IO_THREADS);
        ControlView empty = ControlView.empty();
        mView = new AtomicReference<>(empty);
        SharedSecret linkSecret = SharedSecret.of(settings.linkSecret().bytes());
        SessionTokenCodec tokens =
                SessionTokenCodec.of(SharedSecret.of(settings.sessionSecret().bytes()));
        mLifecycle = startLifecycle();
        mLinks =
                EntryLinks.start(
                        mThreads, settings.link(), settings.host(), linkSecret, new FromLinks());
        mControl = startControl(empty);
        mMonitor =
                StatusMonitor.start(
                        mThreads, seen -> offerToGroups(new GroupsEvent.EndpointObserved(seen)));
        mGroups = startGroups(empty);
        mIngress = startIngress(empty, tokens);
        settings.controlHosts().forEach(peer -> connect(peer, linkSecret));
        mCallers =
                HttpServer.start(
                        mThreads,
                        settings.callers(),
                        HttpLimits.DEFAULT,
                        HealthRoutes.create(mLifecycle, frontEnd(tokens)));
        mPlatform =
                HttpServer.start(
                        mThreads,
                        settings.platform().address(),
                        HttpLimits.DEFAULT,
                        HealthRoutes.create(mLifecycle, PlatformRoutes.create(mMetrics)));
        LOG.info(
                "platform: entry host {} in {} serves callers at {}",
                settings.host(),
                settings.dataCentre(),
                Addresses.format(mCallers.address()));
    }

    /** Starts an entry host. */
    public static EntryDaemon start(EntrySettings settings) {
        return new EntryDaemon(settings);
    }

    /** Returns the address for callers. */
    public InetSocketAddress callersAddress() {
        return mCallers.address();
    }

    /** Returns the address of the health and metrics routes. */
    public InetSocketAddress platformAddress() {
        return mPlatform.address();
    }

    /** Returns whether the host knows the state of the system and takes work. */
    public boolean isReady() {
        return mStateKnown.get() && mView.get().isFresh(SteadyClock.nanoTime());
    }

    /** Returns the latest control view. */
    public ControlView view() {
        return mView.get();
    }

    /** Asks for a planned stop and returns at once. */
    public void requestStop() {
        mLifecycle.offer(new LifecycleEvent.StopRequested());
    }

    /** Waits until a planned stop has ended. */
    public void awaitStopped() throws InterruptedException {
        mStopped.await();
    }

    @Override
    public void close() {
        mCallers.close();
        mPlatform.close();
        mControlLinks.values().forEach(LinkClient::close);
        mLinks.close();
        mMonitor.close();
        mIngress.stop(STOP_TIMEOUT);
        mGroups.stop(STOP_TIMEOUT);
        mControl.stop(STOP_TIMEOUT);
        mLifecycle.stop(STOP_TIMEOUT);
        mThreads.close();
        mStopped.countDown();
    }

    private CallerFrontEnd frontEnd(SessionTokenCodec tokens) {
        IngressSink sink =
                IngressSink.create(
                        (event, limit) -> mIngress.offer(event, limit),
                        mView::get,
                        tokens,
                        CallerRequest.DEFAULT_TIMEOUT);
        return CallerFrontEnd.create(
                sink, () -> new HashSet<>(mView.get().state().configuration().openRoutes()));
    }

    private Duty<LifecycleEvent> startLifecycle() {
        return start(
                "lifecycle",
                SMALL_RING,
                LifecycleDuty.create(
                        mSettings.platform().balancerDelay(),
                        mSettings.platform().drainLimit(),
                        this::phaseChanged));
    }

    private Duty<GroupsEvent> startGroups(ControlView empty) {
        return start(
                "groups",
                RING,
                GroupsDuty.create(
                        empty,
                        mThreads,
                        this::offerToGroups,
                        new FromGroups(),
                        new MonitorWatch(),
                        mMetrics));
    }

    private Duty<IngressEvent> startIngress(ControlView empty, SessionTokenCodec tokens) {
        return start(
                "ingress",
                RING,
                IngressDuty.create(
                        mSettings.host(),
                        empty,
                        new Dispatcher(),
                        tokens,
                        mMetrics,
                        busy -> mLifecycle.offer(new LifecycleEvent.BusyChanged("ingress", busy))));
    }

    private Duty<ControlLinkEvent> startControl(ControlView empty) {
        EntryHost self =
                new EntryHost(
                        mSettings.host(),
                        new SecureRandom().nextLong(),
                        mSettings.dataCentre(),
                        Addresses.format(mLinks.address()));
        return start(
                "control-link",
                SMALL_RING,
                ControlLinkDuty.create(self, empty, this::send, this::viewChanged, members -> {}));
    }

    private <E> Duty<E> start(
            String name, int capacity, org.crocusturn.core.ring.DutyHandler<E> handler) {
        return Duty.start(
                mSettings.host() + "-" + name,
                capacity,
                handler,
                e -> LOG.error("platform: duty {} failed", name, e));
    }

    private boolean offerToGroups(GroupsEvent event) {
        return mGroups.offer(event);
    }

    private boolean send(HostId host, EntryReport report) {
        LinkClient link = mControlLinks.get(host);
        return link != null && link.send(report);
    }

    private void connect(PeerAddress peer, SharedSecret secret) {
        mControlLinks.put(
                peer.host(),
                LinkClient.start(
                        mThreads, peer.address(), mSettings.host(), secret, new FromControl()));
    }

    private void viewChanged(ControlView view) {
        ControlView before = mView.getAndSet(view);
        mIngress.offer(new IngressEvent.ViewChanged(view));
        mGroups.offer(new GroupsEvent.ViewChanged(view));
        if (before.state() != view.state()) {
            mLinks.updateLinks(view.state().leaseholderLinkAddresses(mSettings.host()));
        }
        mLifecycle.offer(new LifecycleEvent.BusyChanged("leases", view.leases().size()));
        if (mStateKnown.compareAndSet(false, true)) {
            mLifecycle.offer(new LifecycleEvent.StateKnown());
        }
    }

    private void phaseChanged(Phase phase) {
        mIngress.offer(new IngressEvent.PhaseChanged(phase));
        if (phase == Phase.LEAVING || phase == Phase.DRAINING) {
            mControl.offer(new ControlLinkEvent.HostStopping());
        }
        if (phase == Phase.DRAINING) {
            // A refused connection tells a caller at once to go to another host.
            mCallers.stopAccepting();
        }
        if (phase == Phase.STOPPED) {
            mStopped.countDown();
        }
    }

    /** Brings requests of the ingress duty to leaseholders. */
    private final class Dispatcher implements RequestDispatcher {
        @Override
        public boolean dispatchLocally(GroupRequest request, long epoch) {
            return mGroups.offer(
                    new GroupsEvent.RequestArrived(
                            mSettings.host(), new ForwardedRequest(request, epoch)),
                    MAX_WAITING);
        }

        @Override
        public boolean forward(HostId host, String address, ForwardedRequest request) {
            return mLinks.forward(address, request);
        }
    }

    /** Takes the events of links between entry hosts. */
    private final class FromLinks implements EntryLinksListener {
        @Override
        public void onRequest(HostId origin, ForwardedRequest request) {
            if (mGroups == null
                    || !mGroups.offer(
                            new GroupsEvent.RequestArrived(origin, request), MAX_WAITING)) {
                mLinks.reply(
                        origin,
                        request.request().id(),
                        new Outcome.Failed(
                                Failure.notRun(
                                        ErrorCode.OVERLOADED, "the leaseholder is overloaded")));
            }
        }

        @Override
        public void onReply(long attempt, Outcome outcome) {
            mIngress.offer(new IngressEvent.ReplyReceived(attempt, outcome));
        }

        @Override
        public void onLinkLost(HostId host) {
            mIngress.offer(new IngressEvent.LinkLost(host));
        }
    }

    /** Takes what the groups duty tells. */
    private final class FromGroups implements GroupsListener {
        @Override
        public void replied(HostId origin, long request, Outcome outcome) {
            if (origin.equals(mSettings.host())) {
                mIngress.offer(new IngressEvent.ReplyReceived(request, outcome));
            } else {
                mLinks.reply(origin, request, outcome);
            }
        }

        @Override
        public void reportChanged(
                List<HeldLease> leases, List<TokenDemand> demands, boolean urgent) {
            mControl.offer(new ControlLinkEvent.ReportChanged(leases, demands, 0, urgent));
        }

        @Override
        public void endpointSuspected(EndpointId endpoint) {
            mControl.offer(new ControlLinkEvent.EndpointSuspected(endpoint));
        }
    }

    /** Watches endpoints with the status monitor. */
    private final class MonitorWatch implements GroupsDuty.EndpointMonitor {
        @Override
        public void watch(EndpointId endpoint, String statusAddress) {
            mMonitor.watch(endpoint, statusAddress);
        }

        @Override
        public void unwatch(EndpointId endpoint) {
            mMonitor.unwatch(endpoint);
        }
    }

    /** Takes the events of links to control hosts. */
    private final class FromControl implements PeerLinkHandler {
        @Override
        public void onOpen(PeerLink link) {
            mControl.offer(new ControlLinkEvent.LinkOpened(link.peer()));
        }

        @Override
        public void onMessage(PeerLink link, PeerMessage message) {
            mControl.offer(new ControlLinkEvent.MessageReceived(link.peer(), message));
        }

        @Override
        public void onClosed(PeerLink link) {
            mControl.offer(new ControlLinkEvent.LinkClosed(link.peer()));
        }
    }
}
