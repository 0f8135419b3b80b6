package org.crocusturn.daemon;

import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
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
import org.crocusturn.core.controlhosts.EntryReport;
import org.crocusturn.core.controlhosts.HeldLease;
import org.crocusturn.core.controlhosts.Member;
import org.crocusturn.core.controlhosts.TokenDemand;
import org.crocusturn.core.entryhosts.ForwardedRequest;
import org.crocusturn.core.entryhosts.SessionCall;
import org.crocusturn.core.entryhosts.SessionEnd;
import org.crocusturn.core.entryhosts.SessionReply;
import org.crocusturn.core.operators.Leaseholder;
import org.crocusturn.core.platform.Phase;
import org.crocusturn.core.ring.Duty;
import org.crocusturn.core.ring.DutyHandler;
import org.crocusturn.core.ring.SteadyClock;
import org.crocusturn.daemon.callers.SessionDispatcher;
import org.crocusturn.daemon.callers.SessionEvent;
import org.crocusturn.daemon.callers.SessionsDuty;
import org.crocusturn.daemon.controlhosts.ControlLinkDuty;
import org.crocusturn.daemon.controlhosts.ControlLinkEvent;
import org.crocusturn.daemon.endpoints.EndpointConnector;
import org.crocusturn.daemon.endpoints.PromotionService;
import org.crocusturn.daemon.endpoints.SessionGroupsDuty;
import org.crocusturn.daemon.endpoints.SessionGroupsEvent;
import org.crocusturn.daemon.endpoints.SessionGroupsListener;
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

/** Is an entry host that serves sessions; its front end brings {@link SessionEvent}s. */
public final class SessionEntryDaemon implements AutoCloseable {
    private static final Logger LOG = LogManager.getLogger(SessionEntryDaemon.class);
    private static final int RING = 65_536;
    private static final int SMALL_RING = 4_096;

    /** New events of callers that may wait; the rest of the ring is kept for answers. */
    private static final int MAX_WAITING = 16_384;

    /**
     * Age of the latest answer of the control leader from which the host is not ready; a change of
     * the leader takes about 1 s.
     */
    private static final Duration STALE = Duration.ofMillis(2_000);

    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(1);

    private final SessionEntrySettings mSettings;
    private final NetThreads mThreads;
    private final SharedSecret mSecret;
    private final AtomicReference<ControlView> mView;
    private final AtomicBoolean mStateKnown = new AtomicBoolean();
    private final CountDownLatch mStopped = new CountDownLatch(1);
    private final Map<InetSocketAddress, LinkClient> mControlLinks = new ConcurrentHashMap<>();
    private final Map<HostId, PeerLink> mControlHosts = new ConcurrentHashMap<>();
    private final EntryLinks mLinks;
    private final Duty<LifecycleEvent> mLifecycle;
    private final Duty<SessionEvent> mSessions;
    private final Duty<SessionGroupsEvent> mGroups;
    private final Duty<ControlLinkEvent> mControl;
    private volatile long mAnsweredNanos;
    private volatile Phase mPhase = Phase.STARTING;

    private SessionEntryDaemon(
            SessionEntrySettings settings,
            NetThreads threads,
            EndpointConnector connector,
            PromotionService promotions,
            Metrics metrics) {
        mSettings = settings;
        mThreads = threads;
        mSecret = SharedSecret.of(settings.linkSecret().bytes());
        ControlView empty = ControlView.empty();
        mView = new AtomicReference<>(empty);
        mLifecycle =
                start(
                        "lifecycle",
                        SMALL_RING,
                        LifecycleDuty.create(
                                settings.balancerDelay(),
                                settings.drainLimit(),
                                this::phaseChanged));
        mLinks =
                EntryLinks.start(
                        threads, settings.link(), settings.host(), mSecret, new FromLinks());
        EntryHost self =
                new EntryHost(
                        settings.host(),
                        new SecureRandom().nextLong(),
                        settings.dataCentre(),
                        Addresses.format(mLinks.address()));
        mControl =
                start(
                        "control-link",
                        SMALL_RING,
                        ControlLinkDuty.create(
                                self, empty, this::send, this::viewChanged, this::membersChanged));
        mGroups =
                start(
                        "groups",
                        RING,
                        SessionGroupsDuty.create(
                                settings.host(),
                                settings.dataCentre(),
                                empty,
                                connector,
                                promotions,
                                this::offerToGroups,
                                new FromGroups(),
                                metrics));
        mSessions =
                start(
                        "sessions",
                        RING,
                        SessionsDuty.create(
                                empty,
                                new Dispatcher(),
                                busy -> noteBusy("sessions", busy),
                                this::inTouch,
                                metrics));
        connect(settings.controlLinks());
    }

    /**
     * Starts an entry host.
     *
     * @param settings settings of the host
     * @param threads I/O threads; closed with the daemon
     * @param connector opens connections to endpoints
     * @param promotions orders promotions
     * @param metrics metrics of the process
     */
    public static SessionEntryDaemon start(
            SessionEntrySettings settings,
            NetThreads threads,
            EndpointConnector connector,
            PromotionService promotions,
            Metrics metrics) {
        return new SessionEntryDaemon(
                Objects.requireNonNull(settings, "settings"),
                Objects.requireNonNull(threads, "threads"),
                Objects.requireNonNull(connector, "connector"),
                Objects.requireNonNull(promotions, "promotions"),
                Objects.requireNonNull(metrics, "metrics"));
    }

    /** Takes an event of the front end; false if too many wait. */
    public boolean offer(SessionEvent event) {
        return mSessions.offer(event, MAX_WAITING);
    }

    /** Returns whether the host takes new sessions. */
    public boolean isReady() {
        return mPhase == Phase.SERVING && inTouch();
    }

    private boolean inTouch() {
        return SteadyClock.nanoTime() - mAnsweredNanos < STALE.toNanos();
    }

    /** Opens links to control hosts that are not known yet. */
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
                                                new FromControl())));
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
        mControlLinks.values().forEach(LinkClient::close);
        mLinks.close();
        mSessions.stop(STOP_TIMEOUT);
        mGroups.stop(STOP_TIMEOUT);
        mControl.stop(STOP_TIMEOUT);
        mLifecycle.stop(STOP_TIMEOUT);
        mThreads.close();
        mStopped.countDown();
    }

    private <E> Duty<E> start(String name, int capacity, DutyHandler<E> handler) {
        return Duty.start(
                mSettings.host() + "-" + name,
                capacity,
                handler,
                e -> LOG.error("platform: duty {} failed", name, e));
    }

    private void noteBusy(String part, int busy) {
        mLifecycle.offer(new LifecycleEvent.BusyChanged(part, busy));
    }

    private boolean offerToGroups(SessionGroupsEvent event) {
        return mGroups.offer(event);
    }

    private boolean send(HostId host, EntryReport report) {
        PeerLink link = mControlHosts.get(host);
        return link != null && link.send(report);
    }

    private void membersChanged(List<Member> members) {
        Set<InetSocketAddress> known =
                members.stream()
                        .map(m -> Addresses.parse(m.linkAddress()))
                        .collect(Collectors.toSet());
        known.addAll(mSettings.controlLinks());
        connect(known);
        mControlLinks.entrySet().removeIf(e -> !known.contains(e.getKey()) && closed(e.getValue()));
    }

    private static boolean closed(LinkClient client) {
        client.close();
        return true;
    }

    private void viewChanged(ControlView view) {
        mAnsweredNanos = SteadyClock.nanoTime();
        ControlView before = mView.getAndSet(view);
        mGroups.offer(new SessionGroupsEvent.ViewChanged(view));
        if (before.state() != view.state()) {
            mSessions.offer(new SessionEvent.ViewChanged(view));
            mLinks.updateLinks(view.state().leaseholderLinkAddresses(mSettings.host()));
        }
        noteBusy("leases", view.leases().size());
        boolean known = view.state().configuration().version() > 0;
        if (known && mStateKnown.compareAndSet(false, true)) {
            mLifecycle.offer(new LifecycleEvent.StateKnown());
        }
    }

    private void phaseChanged(Phase phase) {
        mPhase = phase;
        mSessions.offer(new SessionEvent.PhaseChanged(phase));
        if (phase == Phase.LEAVING || phase == Phase.DRAINING) {
            mControl.offer(new ControlLinkEvent.HostStopping());
        }
        if (phase == Phase.STOPPED) {
            mStopped.countDown();
        }
    }

    /** Brings calls to leaseholders. */
    private final class Dispatcher implements SessionDispatcher {
        @Override
        public boolean call(Leaseholder holder, SessionCall call) {
            return holder.host().equals(mSettings.host())
                    ? mGroups.offer(
                            new SessionGroupsEvent.CallArrived(mSettings.host(), call), MAX_WAITING)
                    : mLinks.send(holder.linkAddress(), call);
        }

        @Override
        public void end(Leaseholder holder, SessionEnd end) {
            if (holder.host().equals(mSettings.host())) {
                mGroups.offer(new SessionGroupsEvent.SessionEnded(mSettings.host(), end));
            } else if (!mLinks.send(holder.linkAddress(), end)) {
                LOG.debug("entryhosts: {} is unreachable and drops transactions", holder.host());
            }
        }
    }

    /** Takes the events of links between entry hosts. */
    private final class FromLinks implements EntryLinksListener {
        @Override
        public void onRequest(HostId origin, ForwardedRequest request) {
            LOG.warn("entryhosts: {} sent a request of another interface", origin);
        }

        @Override
        public void onReply(long attempt, Outcome outcome) {
            LOG.warn("entryhosts: a reply of another interface is dropped");
        }

        @Override
        public void onSessionCall(HostId origin, SessionCall call) {
            if (!mGroups.offer(new SessionGroupsEvent.CallArrived(origin, call), MAX_WAITING)) {
                Failure full =
                        Failure.notRun(ErrorCode.OVERLOADED, "the leaseholder is overloaded");
                mLinks.reply(
                        origin,
                        new SessionReply(
                                call.id(),
                                SessionOutcome.failed(full, call.step() != TransactionStep.NONE)));
            }
        }

        @Override
        public void onSessionEnd(HostId origin, SessionEnd end) {
            mGroups.offer(new SessionGroupsEvent.SessionEnded(origin, end));
        }

        @Override
        public void onSessionReply(SessionReply reply) {
            mSessions.offer(new SessionEvent.ReplyReceived(reply));
        }

        @Override
        public void onOriginLost(HostId origin) {
            mGroups.offer(new SessionGroupsEvent.OriginLost(origin));
        }

        @Override
        public void onLinkLost(HostId host) {
            mSessions.offer(new SessionEvent.LinkLost(host));
        }
    }

    /** Takes what the groups have to tell. */
    private final class FromGroups implements SessionGroupsListener {
        @Override
        public void replied(HostId origin, SessionReply reply) {
            if (origin.equals(mSettings.host())) {
                mSessions.offer(new SessionEvent.ReplyReceived(reply));
            } else {
                mLinks.reply(origin, (PeerMessage) reply);
            }
        }

        @Override
        public void reportChanged(
                List<HeldLease> leases,
                List<TokenDemand> demands,
                long holdingsTerm,
                boolean urgent) {
            mControl.offer(
                    new ControlLinkEvent.ReportChanged(leases, demands, holdingsTerm, urgent));
        }
    }

    /** Takes the events of links to control hosts. */
    private final class FromControl implements PeerLinkHandler {
        @Override
        public void onOpen(PeerLink link) {
            mControlHosts.put(link.peer(), link);
            mControl.offer(new ControlLinkEvent.LinkOpened(link.peer()));
        }

        @Override
        public void onMessage(PeerLink link, PeerMessage message) {
            mControl.offer(new ControlLinkEvent.MessageReceived(link.peer(), message));
        }

        @Override
        public void onClosed(PeerLink link) {
            if (mControlHosts.remove(link.peer(), link)) {
                mControl.offer(new ControlLinkEvent.LinkClosed(link.peer()));
            }
        }
    }
}
