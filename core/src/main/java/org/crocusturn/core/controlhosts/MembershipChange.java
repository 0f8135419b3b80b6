package org.crocusturn.core.controlhosts;

import java.util.Objects;
import org.crocusturn.core.HostId;

/** A change of one member of the consensus group. */
public sealed interface MembershipChange {
    /** Adds a learner, which receives the log but does not vote. */
    record AddLearner(HostId host, String linkAddress) implements MembershipChange {
        /** Checks that no part is null. */
        public AddLearner {
            Objects.requireNonNull(host, "host");
            Objects.requireNonNull(linkAddress, "linkAddress");
        }
    }

    /** Makes a learner that has caught up a voter. */
    record Promote(HostId host) implements MembershipChange {
        /** Checks that the host is not null. */
        public Promote {
            Objects.requireNonNull(host, "host");
        }
    }

    /** Removes a voter or learner. */
    record Remove(HostId host) implements MembershipChange {
        /** Checks that the host is not null. */
        public Remove {
            Objects.requireNonNull(host, "host");
        }
    }
}
