package org.crocusturn.core.controlhosts;

import java.util.Objects;
import org.crocusturn.core.HostId;

/**
 * A control host of the consensus group.
 *
 * @param host name of the host
 * @param linkAddress IP address and port of its link
 * @param voter whether the host votes; a learner only receives the log
 */
public record Member(HostId host, String linkAddress, boolean voter) {
    /** Checks that no part is null. */
    public Member {
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(linkAddress, "linkAddress");
    }
}
