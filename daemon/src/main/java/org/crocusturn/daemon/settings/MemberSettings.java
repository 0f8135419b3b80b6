package org.crocusturn.daemon.settings;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Objects;
import org.crocusturn.core.HostId;

/**
 * Is what a member of the consensus group needs to know.
 *
 * @param host name of the host
 * @param dataFolder folder of its durable state
 * @param link IP address and port for control hosts and entry hosts
 * @param members control hosts at the first start of the deployment; a host that they do not name
 *     asks them to join
 * @param bootstrap whether an empty data folder may mean a new deployment
 * @param automaticMembers whether members join and silent ones are replaced without an operator
 * @param linkSecret secret that all processes of the system share
 */
public record MemberSettings(
        HostId host,
        Path dataFolder,
        InetSocketAddress link,
        List<PeerAddress> members,
        boolean bootstrap,
        boolean automaticMembers,
        Secret linkSecret) {
    /** Copies the list. */
    public MemberSettings {
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(dataFolder, "dataFolder");
        Objects.requireNonNull(link, "link");
        members = List.copyOf(members);
        Objects.requireNonNull(linkSecret, "linkSecret");
    }

    /** Returns whether the settings name this host as one of the first members. */
    public boolean isFirstMember() {
        return members.stream().anyMatch(m -> m.host().equals(host));
    }
}
