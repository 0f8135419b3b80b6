package org.crocusturn.core.platform;

import java.time.Duration;
import java.util.Objects;

/**
 * Decides the phase of a process from its start to its planned stop.
 *
 * <p>Immutable. All times are monotonic nanoseconds.
 *
 * @param phase current phase
 * @param sinceNanos time at which the phase began
 */
public record Lifecycle(Phase phase, long sinceNanos) {
    /** Checks that the phase is not null. */
    public Lifecycle {
        Objects.requireNonNull(phase, "phase");
    }

    /** Creates the lifecycle of a process that starts. */
    public static Lifecycle starting(long nowNanos) {
        return new Lifecycle(Phase.STARTING, nowNanos);
    }

    /** Returns whether the load balancer should send new connections. */
    public boolean ready() {
        return phase == Phase.SERVING;
    }

    /** Returns whether new work is taken. */
    public boolean takesWork() {
        return phase == Phase.SERVING || phase == Phase.LEAVING;
    }

    /** Returns the lifecycle after the process learned the state of the system. */
    public Lifecycle withServing(long nowNanos) {
        return phase == Phase.STARTING ? new Lifecycle(Phase.SERVING, nowNanos) : this;
    }

    /** Returns the lifecycle after a request to stop; a second request changes nothing. */
    public Lifecycle withStopRequested(long nowNanos) {
        return switch (phase) {
            case STARTING -> new Lifecycle(Phase.DRAINING, nowNanos);
            case SERVING -> new Lifecycle(Phase.LEAVING, nowNanos);
            default -> this;
        };
    }

    /**
     * Returns the lifecycle at a time.
     *
     * @param nowNanos current time
     * @param balancerDelay time that the load balancer needs to notice that the host is not ready
     * @param busy number of requests and leases that are left
     * @param limit longest time for draining; what still runs then is given up
     */
    public Lifecycle at(long nowNanos, Duration balancerDelay, int busy, Duration limit) {
        long elapsed = nowNanos - sinceNanos;
        return switch (phase) {
            case LEAVING ->
                    elapsed >= balancerDelay.toNanos()
                            ? new Lifecycle(Phase.DRAINING, nowNanos)
                            : this;
            case DRAINING ->
                    busy == 0 || elapsed >= limit.toNanos()
                            ? new Lifecycle(Phase.STOPPED, nowNanos)
                            : this;
            default -> this;
        };
    }
}
