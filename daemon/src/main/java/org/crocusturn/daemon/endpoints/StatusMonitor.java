package org.crocusturn.daemon.endpoints;

import java.time.Duration;
import java.util.Objects;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.endpoints.EndpointObservation;
import org.crocusturn.core.ring.Duty;
import org.crocusturn.daemon.net.Addresses;
import org.crocusturn.daemon.net.NetThreads;

/**
 * Watches the status of endpoints with one long poll for each of them.
 *
 * <p>Safe for any thread; no method but {@link #close} blocks. The listener is called on the
 * monitor's own thread.
 */
public final class StatusMonitor implements AutoCloseable {
    /** Silence after which an endpoint is reported, unless it is set otherwise. */
    public static final Duration DEFAULT_SILENT_AFTER = Duration.ofMillis(900);

    /** Least time between two polls of an endpoint; bounds the load when every poll has news. */
    public static final Duration DEFAULT_MIN_INTERVAL = Duration.ofMillis(1);

    private static final Logger LOG = LogManager.getLogger(StatusMonitor.class);

    /** Each endpoint has at most one attempt under way, so this fits the plan's endpoints. */
    private static final int RING_CAPACITY = 16_384;

    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(2);

    private final StatusMonitorDuty mHandler;
    private final Duty<StatusEvent> mDuty;

    private StatusMonitor(StatusMonitorDuty handler) {
        mHandler = handler;
        mDuty =
                Duty.start(
                        "status-monitor",
                        RING_CAPACITY,
                        handler,
                        e -> LOG.error("endpoints: status monitor failed", e));
        handler.setEvents(mDuty::offer);
    }

    /** Starts a monitor with the default times. */
    public static StatusMonitor start(NetThreads threads, Consumer<EndpointObservation> listener) {
        return start(threads, DEFAULT_SILENT_AFTER, DEFAULT_MIN_INTERVAL, listener);
    }

    /**
     * Starts a monitor.
     *
     * @param threads I/O threads
     * @param silentAfter time without an answer after which an endpoint is reported as silent, and
     *     again each time it passes
     * @param minInterval least time between two polls of one endpoint
     * @param listener told about each observation; must not block
     */
    public static StatusMonitor start(
            NetThreads threads,
            Duration silentAfter,
            Duration minInterval,
            Consumer<EndpointObservation> listener) {
        Objects.requireNonNull(listener, "listener");
        return new StatusMonitor(
                new StatusMonitorDuty(threads, silentAfter, minInterval, listener));
    }

    /**
     * Watches an endpoint; a second call with another address replaces the first.
     *
     * @return false if the monitor is overloaded; the call has to be repeated then
     */
    public boolean watch(EndpointId endpoint, String statusAddress) {
        Addresses.parse(statusAddress);
        return mDuty.offer(new StatusEvent.Watch(endpoint, statusAddress));
    }

    /**
     * Stops watching an endpoint.
     *
     * @return false if the monitor is overloaded; the call has to be repeated then
     */
    public boolean unwatch(EndpointId endpoint) {
        return mDuty.offer(new StatusEvent.Unwatch(endpoint));
    }

    @Override
    public void close() {
        mDuty.stop(STOP_TIMEOUT);
        mHandler.closeAll();
    }
}
