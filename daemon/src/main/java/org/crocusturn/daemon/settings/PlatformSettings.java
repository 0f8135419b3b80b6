package org.crocusturn.daemon.settings;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Objects;

/**
 * Settings for the platform on which a process runs.
 *
 * @param address IP address and port of the health and metrics routes
 * @param balancerDelay time that the load balancer takes to detect that a host is not ready
 * @param drainLimit maximum time for draining at a planned stop
 */
public record PlatformSettings(
        InetSocketAddress address, Duration balancerDelay, Duration drainLimit) {
    /** Checks that no component is null. */
    public PlatformSettings {
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(balancerDelay, "balancerDelay");
        Objects.requireNonNull(drainLimit, "drainLimit");
    }
}
