package org.crocusturn.daemon.settings;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.crocusturn.core.DataCentreId;
import org.crocusturn.core.HostId;
import org.crocusturn.core.platform.MeteringSettings;

/**
 * Settings of an entry host that serves sessions.
 *
 * @param host name of the host
 * @param dataCentre data centre of the host
 * @param link IP address and port for other entry hosts
 * @param controlLinks initial link addresses of control hosts; others are learned at run time
 * @param linkSecret secret shared by all processes of the system
 * @param balancerDelay time that the load balancer takes to detect that a host is not ready
 * @param drainLimit maximum time for draining at a planned stop
 * @param transactionLimit time that open transactions get to end, from the request to stop
 * @param relayCapacity statements per second that the host can relay as a leaseholder; 0 if not
 *     known
 * @param metering how usage is counted; empty if it is not
 */
public record SessionEntrySettings(
        HostId host,
        DataCentreId dataCentre,
        InetSocketAddress link,
        List<InetSocketAddress> controlLinks,
        Secret linkSecret,
        Duration balancerDelay,
        Duration drainLimit,
        Duration transactionLimit,
        int relayCapacity,
        Optional<MeteringSettings> metering) {
    /** Copies the list. */
    public SessionEntrySettings {
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(dataCentre, "dataCentre");
        Objects.requireNonNull(link, "link");
        controlLinks = List.copyOf(controlLinks);
        Objects.requireNonNull(linkSecret, "linkSecret");
        Objects.requireNonNull(balancerDelay, "balancerDelay");
        Objects.requireNonNull(drainLimit, "drainLimit");
        Objects.requireNonNull(transactionLimit, "transactionLimit");
        Objects.requireNonNull(metering, "metering");
    }
}
