package org.crocusturn.daemon.settings;

import java.net.InetSocketAddress;
import java.util.Objects;
import org.crocusturn.core.HostId;

/**
 * Name and link address of a control host.
 *
 * @param host name of the host
 * @param address IP address and port of its link
 */
public record PeerAddress(HostId host, InetSocketAddress address) {
    /** Checks that no component is null. */
    public PeerAddress {
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(address, "address");
    }
}
