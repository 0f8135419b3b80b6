package org.crocusturn.core.platform;

import java.time.Duration;
import java.util.Objects;

/**
 * Lifecycle of a process from its start to its planned stop. Immutable.
 *
 * <p>All times are monotonic, in nanoseconds.
 *
 * @param phase current phase
 * @param sinceNanos start time of the phase
 */
public record Lifecycle(Phase phase, long sinceNanos) {
    /** Checks that the phase is not null. */
    public Lifecycle {
        Objects.requireNonNull(phase, "phase");
    }

    /** Creates the lifecycle of a starting process. */
    public static Lifecycle starting(long nowNanos) {
        return new Lifecycle(Phase.STARTING, nowNanos);
    }

    /** Returns whether the load balancer should open new connections to the host. */
    public boolean isReady() {
        return phase == Phase.SERVING;
    }

    /** Returns whether the process accepts new work. */
    public boolean acceptsWork() {
        return phase == Phase.SERVING || phase == Phase.LEAVING;
    }

    /** Returns the lifecycle after the process received the state of the system. */
    public Lifecycle withServing(long nowNanos) {
        return phase == Phase.STARTING ? new Lifecycle(Phase.SERVING, nowNanos) : this;
    }

    /** Returns the lifecycle after a request to stop; further requests have no effect. */
    public Lifecycle withStopRequested(long nowNanos) {
        return switch (phase) {
            case STARTING -> new Lifecycle(Phase.DRAINING, nowNanos);
            case SERVING -> new Lifecycle(Phase.LEAVING, nowNanos);
            default -> this;
        };
    }

    /**
     * Returns the lifecycle advanced to the current time.
     *
     * @param nowNanos current time
     * @param balancerDelay time that the load balancer takes to detect that a host is not ready
     * @param remainingWork number of remaining requests and leases
     * @param drainTimeout maximum time for draining, after which remaining work is abandoned
     */
    public Lifecycle advancedTo(
            long nowNanos, Duration balancerDelay, int remainingWork, Duration drainTimeout) {
        long elapsed = nowNanos - sinceNanos;
        return switch (phase) {
            case LEAVING ->
                    elapsed >= balancerDelay.toNanos()
                            ? new Lifecycle(Phase.DRAINING, nowNanos)
                            : this;
            case DRAINING ->
                    remainingWork == 0 || elapsed >= drainTimeout.toNanos()
                            ? new Lifecycle(Phase.STOPPED, nowNanos)
                            : this;
            default -> this;
        };
    }
}
