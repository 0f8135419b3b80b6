package org.crocusturn.daemon;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.crocusturn.core.operators.ControlState;
import org.crocusturn.core.platform.Phase;
import org.crocusturn.core.ring.Duty;
import org.crocusturn.core.ring.DutyHandler;
import org.crocusturn.core.ring.FailureHandler;
import org.crocusturn.core.ring.ThreadFailures;
import org.crocusturn.daemon.controlhosts.ControlMember;
import org.crocusturn.daemon.endpoints.AnnouncementHandler;
import org.crocusturn.daemon.net.Addresses;
import org.crocusturn.daemon.net.HttpLimits;
import org.crocusturn.daemon.net.HttpServer;
import org.crocusturn.daemon.net.NetThreads;
import org.crocusturn.daemon.operators.OperatorDuty;
import org.crocusturn.daemon.operators.OperatorEvent;
import org.crocusturn.daemon.operators.OperatorRoutes;
import org.crocusturn.daemon.platform.HealthRoutes;
import org.crocusturn.daemon.platform.LifecycleDuty;
import org.crocusturn.daemon.platform.LifecycleEvent;
import org.crocusturn.daemon.platform.Metrics;
import org.crocusturn.daemon.platform.PlatformRoutes;
import org.crocusturn.daemon.settings.ControlSettings;

/** Control host: connects its consensus member, duties and HTTP servers. */
public final class ControlDaemon implements AutoCloseable {
    private static final Logger LOG = LogManager.getLogger(ControlDaemon.class);
    private static final int IO_THREADS = 2;
    private static final int RING_CAPACITY = 4_096;
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(2);

    private final ControlSettings mSettings;
    private final NetThreads mThreads;
    private final Metrics mMetrics = Metrics.create();
    private final CountDownLatch mStopped = new CountDownLatch(1);
    private final Duty<LifecycleEvent> mLifecycleDuty;
    private final Duty<OperatorEvent> mOperatorDuty;
    private final ControlMember mMember;
    private final HttpServer mOperatorServer;
    private final HttpServer mEndpointServer;
    private final HttpServer mPlatformServer;

    private ControlDaemon(ControlSettings settings) {
        mSettings = settings;
        mThreads = NetThreads.start(settings.host().value(), IO_THREADS);
        mLifecycleDuty =
                start(
                        "lifecycle",
                        LifecycleDuty.create(
                                settings.platform().balancerDelay(),
                                settings.platform().drainLimit(),
                                Set.of(),
                                this::onPhaseChanged));
        mMember = ControlMember.start(settings.member(), mThreads, mMetrics, this::onMemberFailure);
        mOperatorDuty =
                start(
                        "operators",
                        OperatorDuty.create(mMember, event -> offerToOperatorDuty(event)));
        mOperatorServer =
                HttpServer.start(
                        mThreads,
                        settings.operators(),
                        HttpLimits.DEFAULT,
                        OperatorRoutes.create(settings.operatorSecret(), mOperatorDuty));
        mEndpointServer =
                HttpServer.start(
                        mThreads,
                        settings.endpoints(),
                        HttpLimits.DEFAULT,
                        AnnouncementHandler.create(
                                settings.announcementSecret().text(), mMember::onAnnouncement));
        mPlatformServer =
                HttpServer.start(
                        mThreads,
                        settings.platform().address(),
                        HttpLimits.DEFAULT,
                        HealthRoutes.create(mLifecycleDuty, PlatformRoutes.create(mMetrics)));
        mLifecycleDuty.offer(new LifecycleEvent.StateReceived());
        LOG.info(
                "platform: control host {} listens for operators at {}",
                settings.host(),
                Addresses.format(mOperatorServer.address()));
    }

    /** Starts a control host. */
    public static ControlDaemon start(ControlSettings settings) {
        return new ControlDaemon(settings);
    }

    /** Returns the address of the operator interface. */
    public InetSocketAddress operatorsAddress() {
        return mOperatorServer.address();
    }

    /** Returns the address where endpoints announce themselves. */
    public InetSocketAddress endpointsAddress() {
        return mEndpointServer.address();
    }

    /** Returns whether this host is the control leader. */
    public boolean leads() {
        return mMember.isLeader();
    }

    /**
     * Returns whether this host is a member whose log is complete enough to count for majorities.
     */
    public boolean recovered() {
        return mMember.isRecovered();
    }

    /** Returns the replicated state that this host has applied. */
    public ControlState state() {
        return mMember.state();
    }

    /** Requests a planned stop; does not wait for it. */
    public void requestStop() {
        mLifecycleDuty.offer(new LifecycleEvent.StopRequested());
    }

    /** Waits until the host has stopped and the requests that it had read are answered. */
    public void awaitStopped() throws InterruptedException {
        mStopped.await();
        mOperatorServer.stop(STOP_TIMEOUT);
        mEndpointServer.stop(STOP_TIMEOUT);
    }

    @Override
    public void close() {
        mOperatorServer.close();
        mEndpointServer.close();
        mPlatformServer.close();
        mOperatorDuty.stop(STOP_TIMEOUT);
        mMember.close();
        mLifecycleDuty.stop(STOP_TIMEOUT);
        mThreads.close();
        mStopped.countDown();
    }

    private <E> Duty<E> start(String name, DutyHandler<E> handler) {
        return Duty.start(
                mSettings.host() + "-" + name, RING_CAPACITY, handler, FailureHandler.ENDING);
    }

    private boolean offerToOperatorDuty(OperatorEvent event) {
        return mOperatorDuty.offer(event);
    }

    private void onPhaseChanged(Phase phase) {
        if (phase == Phase.LEAVING || phase == Phase.DRAINING) {
            mMember.transferLeadership();
        }
        if (phase == Phase.STOPPED) {
            mStopped.countDown();
        }
    }

    /** Ends the process after a failure of the consensus member; the platform restarts it. */
    private void onMemberFailure(RuntimeException failure) {
        ThreadFailures.report(failure);
        // Reached only if this host is embedded in a process that continues.
        mStopped.countDown();
    }
}
