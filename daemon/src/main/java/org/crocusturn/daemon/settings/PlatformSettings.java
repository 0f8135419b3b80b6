package org.crocusturn.daemon.settings;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Objects;

/**
 * Tells how a process meets its platform.
 *
 * @param address IP address and port of the health and metrics routes
 * @param balancerDelay time that the load balancer needs to notice a host that is not ready
 * @param drainLimit longest time for finishing what runs at a planned stop
 */
public record PlatformSettings(
        InetSocketAddress address, Duration balancerDelay, Duration drainLimit) {
    /** Checks that no part is null. */
    public PlatformSettings {
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(balancerDelay, "balancerDelay");
        Objects.requireNonNull(drainLimit, "drainLimit");
    }
}
