package org.crocusturn.daemon.settings;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Objects;
import org.crocusturn.core.DataCentreId;
import org.crocusturn.core.HostId;

/**
 * Is the settings file of an entry host.
 *
 * @param host name of the host
 * @param dataCentre where it stands
 * @param callers IP address and port for callers
 * @param link IP address and port for other entry hosts
 * @param platform health, metrics and planned stop
 * @param controlHosts control hosts
 * @param linkSecret secret that all processes of the system share
 * @param sessionSecret secret that signs session tokens; all entry hosts share it
 */
public record EntrySettings(
        HostId host,
        DataCentreId dataCentre,
        InetSocketAddress callers,
        InetSocketAddress link,
        PlatformSettings platform,
        List<PeerAddress> controlHosts,
        Secret linkSecret,
        Secret sessionSecret) {
    /** Copies the list. */
    public EntrySettings {
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(dataCentre, "dataCentre");
        controlHosts = List.copyOf(controlHosts);
    }
}
