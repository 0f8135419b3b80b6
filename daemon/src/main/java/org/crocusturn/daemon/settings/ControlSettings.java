package org.crocusturn.daemon.settings;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.crocusturn.core.DataCentreId;
import org.crocusturn.core.HostId;
import org.crocusturn.core.platform.MeteringSettings;

/**
 * Settings of a control host, read from its settings file.
 *
 * @param host name of the host
 * @param dataCentre data centre of the host
 * @param dataFolder folder of the durable state
 * @param link IP address and port for control hosts and entry hosts
 * @param operators IP address and port of the operator interface
 * @param endpoints IP address and port where endpoints announce themselves
 * @param platform health, metrics and planned stop
 * @param members control hosts at the first start of the deployment, including this one; the list
 *     must be the same on each of them
 * @param bootstrap whether the host may start a new deployment with an empty data folder. It does
 *     so only after every other member has confirmed that it holds no log and knows no earlier data
 *     folder of this host; otherwise it recovers its log from the others. The value can stay true
 *     permanently. If it is false, an empty folder means a lost disk or a host that joins.
 * @param linkSecret secret shared by all processes of the system
 * @param operatorSecret secret with which operators authenticate
 * @param announcementSecret secret with which endpoints authenticate
 * @param metering how usage is counted; empty if it is not
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
        Secret announcementSecret,
        Optional<MeteringSettings> metering) {
    /** Copies the list. */
    public ControlSettings {
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(dataCentre, "dataCentre");
        Objects.requireNonNull(dataFolder, "dataFolder");
        members = List.copyOf(members);
        Objects.requireNonNull(metering, "metering");
    }

    /** Creates the settings of a control host that counts no usage. */
    public ControlSettings(
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
        this(
                host,
                dataCentre,
                dataFolder,
                link,
                operators,
                endpoints,
                platform,
                members,
                bootstrap,
                linkSecret,
                operatorSecret,
                announcementSecret,
                Optional.empty());
    }

    /** Returns the settings of the member of the consensus group. */
    public MemberSettings member() {
        return new MemberSettings(
                host, dataFolder, link, members, bootstrap, false, 0, linkSecret, metering);
    }
}
