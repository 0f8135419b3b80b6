package org.crocusturn.daemon.settings;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.crocusturn.core.HostId;
import org.crocusturn.core.controlhosts.Member;
import org.crocusturn.core.controlhosts.Membership;
import org.crocusturn.core.platform.MeteringSettings;
import org.crocusturn.daemon.net.Addresses;

/**
 * Settings of a member of the consensus group.
 *
 * @param host name of the host
 * @param dataFolder folder of the durable state
 * @param link IP address and port for control hosts and entry hosts
 * @param members control hosts at the first start of the deployment; a host that is not one of them
 *     sends them a request to join
 * @param bootstrap whether the host may start a new deployment with an empty data folder
 * @param automaticMembers whether hosts join and silent members are replaced without an operator
 * @param toleratedLosses number of control hosts that may lose their disks at the same time; 0 if
 *     not known. A group that tolerates fewer losses logs a warning.
 * @param linkSecret secret shared by all processes of the system
 * @param metering how usage is reported; empty if it is not
 */
public record MemberSettings(
        HostId host,
        Path dataFolder,
        InetSocketAddress link,
        List<PeerAddress> members,
        boolean bootstrap,
        boolean automaticMembers,
        int toleratedLosses,
        Secret linkSecret,
        Optional<MeteringSettings> metering) {
    /** Copies the list. */
    public MemberSettings {
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(dataFolder, "dataFolder");
        Objects.requireNonNull(link, "link");
        members = List.copyOf(members);
        Objects.requireNonNull(linkSecret, "linkSecret");
        Objects.requireNonNull(metering, "metering");
    }

    /** Creates the settings of a member that reports no usage. */
    public MemberSettings(
            HostId host,
            Path dataFolder,
            InetSocketAddress link,
            List<PeerAddress> members,
            boolean bootstrap,
            boolean automaticMembers,
            int toleratedLosses,
            Secret linkSecret) {
        this(
                host,
                dataFolder,
                link,
                members,
                bootstrap,
                automaticMembers,
                toleratedLosses,
                linkSecret,
                Optional.empty());
    }

    /** Returns the members at the first start, all of which vote. */
    public Membership firstMembership() {
        return new Membership(
                members.stream()
                        .map(m -> new Member(m.host(), Addresses.format(m.address()), true))
                        .toList());
    }

    /** Returns whether this host is a member at the first start of the deployment. */
    public boolean isFirstMember() {
        return members.stream().anyMatch(m -> m.host().equals(host));
    }
}
