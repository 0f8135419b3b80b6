package org.crocusturn.daemon.endpoints;

import java.time.Duration;
import java.util.Objects;
import java.util.function.Consumer;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.endpoints.EndpointObservation;
import org.crocusturn.core.ring.Duty;
import org.crocusturn.core.ring.FailureHandler;
import org.crocusturn.daemon.net.NetThreads;

/**
 * Monitors the status of endpoints with one long poll for each endpoint.
 *
 * <p>Thread-safe; only {@link #close} blocks. The listener is called on the monitor's own thread.
 */
public final class StatusMonitor implements AutoCloseable {
    /** Default time without an answer after which an endpoint is reported as silent. */
    public static final Duration DEFAULT_SILENT_AFTER = Duration.ofMillis(900);

    /** Default minimum interval between polls; limits the load if each poll returns at once. */
    public static final Duration DEFAULT_MIN_INTERVAL = Duration.ofMillis(1);

    /** Exceeds the planned number of endpoints, each of which has at most one pending attempt. */
    private static final int RING_CAPACITY = 16_384;

    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(2);

    private final StatusMonitorDuty mHandler;
    private final Duty<StatusEvent> mDuty;

    private StatusMonitor(StatusMonitorDuty handler) {
        mHandler = handler;
        mDuty = Duty.start("status-monitor", RING_CAPACITY, handler, FailureHandler.ENDING);
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
     * @param silentAfter time without an answer after which an endpoint is reported as silent; the
     *     report is repeated at this interval
     * @param minInterval minimum interval between polls of one endpoint
     * @param listener receives each observation; must not block
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
     * Starts monitoring an endpoint; a call with another address replaces the earlier one. An
     * endpoint with an invalid address is reported like one that refuses connections.
     *
     * @return false if the monitor is overloaded and the call must be repeated
     */
    public boolean watch(EndpointId endpoint, String statusAddress) {
        return mDuty.offer(new StatusEvent.Watch(endpoint, statusAddress));
    }

    /**
     * Stops monitoring an endpoint.
     *
     * @return false if the monitor is overloaded and the call must be repeated
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
