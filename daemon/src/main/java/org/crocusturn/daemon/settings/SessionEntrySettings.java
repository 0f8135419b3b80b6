package org.crocusturn.daemon.settings;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import org.crocusturn.core.DataCentreId;
import org.crocusturn.core.HostId;

/**
 * Is what an entry host that serves sessions needs to know.
 *
 * @param host name of the host
 * @param dataCentre where it stands
 * @param link IP address and port for other entry hosts
 * @param controlLinks links of control hosts that are known at the start; others are learned
 * @param linkSecret secret that all processes of the system share
 * @param balancerDelay time that the load balancer needs to notice a host that is not ready
 * @param drainLimit longest time for finishing what runs at a planned stop
 */
public record SessionEntrySettings(
        HostId host,
        DataCentreId dataCentre,
        InetSocketAddress link,
        List<InetSocketAddress> controlLinks,
        Secret linkSecret,
        Duration balancerDelay,
        Duration drainLimit) {
    /** Copies the list. */
    public SessionEntrySettings {
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(dataCentre, "dataCentre");
        Objects.requireNonNull(link, "link");
        controlLinks = List.copyOf(controlLinks);
        Objects.requireNonNull(linkSecret, "linkSecret");
        Objects.requireNonNull(balancerDelay, "balancerDelay");
        Objects.requireNonNull(drainLimit, "drainLimit");
    }
}
