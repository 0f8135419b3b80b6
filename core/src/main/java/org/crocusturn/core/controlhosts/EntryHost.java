package org.crocusturn.core.controlhosts;

import java.util.Objects;
import org.crocusturn.core.DataCentreId;
import org.crocusturn.core.HostId;

/**
 * The identity of an entry host process.
 *
 * @param host name of the host
 * @param incarnation random number drawn at the start of the process
 * @param dataCentre data centre of the host
 * @param linkAddress IP address and port on which other entry hosts reach it
 * @param relayCapacity statements per second that the host can relay as a leaseholder; 0 if not
 *     known
 */
public record EntryHost(
        HostId host,
        long incarnation,
        DataCentreId dataCentre,
        String linkAddress,
        int relayCapacity) {
    /** Checks that no part is null. */
    public EntryHost {
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(dataCentre, "dataCentre");
        Objects.requireNonNull(linkAddress, "linkAddress");
    }
}
