package org.crocusturn.daemon.settings;

import java.net.InetSocketAddress;
import java.util.Objects;
import org.crocusturn.core.HostId;

/**
 * Names a control host and where its link is reached.
 *
 * @param host name of the host
 * @param address IP address and port of its link
 */
public record PeerAddress(HostId host, InetSocketAddress address) {
    /** Checks that no part is null. */
    public PeerAddress {
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(address, "address");
    }
}
