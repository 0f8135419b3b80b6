package org.crocusturn.daemon.settings;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Objects;
import org.crocusturn.core.DataCentreId;
import org.crocusturn.core.HostId;

/**
 * Is the settings file of a control host.
 *
 * @param host name of the host
 * @param dataCentre where it stands
 * @param dataFolder folder of its durable state
 * @param link IP address and port for control hosts and entry hosts
 * @param operators IP address and port of the operators' interface
 * @param endpoints IP address and port where endpoints announce themselves
 * @param platform health, metrics and planned stop
 * @param members control hosts at the first start of the deployment, this one included; the same
 *     list on each of them
 * @param bootstrap whether an empty data folder may mean a new deployment; it does once every other
 *     member has stated that it knows no earlier folder of this host and holds no log, else the
 *     host recovers. May stay true for ever. If false, an empty folder means a lost disk or a host
 *     that joins.
 * @param linkSecret secret that all processes of the system share
 * @param operatorSecret secret that operators present
 * @param announcementSecret secret that endpoints present
 */
public record ControlSettings(
        HostId host,
        DataCentreId dataCentre,
        Path dataFolder,
        InetSocketAddress link,
        InetSocketAddress operators,
        InetSocketAddress endpoints,
        PlatformSettings platform,
        List<PeerAddress> members,
        boolean bootstrap,
        Secret linkSecret,
        Secret operatorSecret,
        Secret announcementSecret) {
    /** Copies the list. */
    public ControlSettings {
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(dataCentre, "dataCentre");
        Objects.requireNonNull(dataFolder, "dataFolder");
        members = List.copyOf(members);
    }

    /** Returns the part that concerns the consensus group. */
    public MemberSettings member() {
        return new MemberSettings(host, dataFolder, link, members, bootstrap, false, linkSecret);
    }
}
