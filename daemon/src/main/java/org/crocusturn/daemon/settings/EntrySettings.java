package org.crocusturn.daemon.settings;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Objects;
import org.crocusturn.core.DataCentreId;
import org.crocusturn.core.HostId;

/**
 * Settings of an entry host, read from its settings file.
 *
 * @param host name of the host
 * @param dataCentre data centre of the host
 * @param callers IP address and port for callers
 * @param link IP address and port for other entry hosts
 * @param platform health, metrics and planned stop
 * @param controlHosts names and addresses of the control hosts
 * @param linkSecret secret shared by all processes of the system
 * @param sessionSecret secret that signs session tokens; shared by all entry hosts
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
