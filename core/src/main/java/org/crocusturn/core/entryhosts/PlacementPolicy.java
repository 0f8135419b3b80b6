package org.crocusturn.core.entryhosts;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.crocusturn.core.DataCentreId;
import org.crocusturn.core.GroupId;

/** Chooses the entry host for a group lease. Implementations have no side effects. */
public interface PlacementPolicy {
    /**
     * A host that may receive the lease: alive, not leaving and in a data centre in service.
     *
     * @param host the host
     * @param leaseCount number of leases of other groups that it holds or is about to receive
     * @param warmedUp whether it has reached the minimum uptime or already holds the lease
     * @param holder whether it already holds the lease
     */
    record Candidate(RegisteredHost host, int leaseCount, boolean warmedUp, boolean holder) {
        /** Checks that the host is not null. */
        public Candidate {
            Objects.requireNonNull(host, "host");
        }
    }

    /**
     * Returns the host that should hold a group's lease, or empty if there is none.
     *
     * @param group the group
     * @param primaryDataCentre data centre of the group's primary, if there is one
     * @param candidates hosts that may receive the lease
     */
    Optional<RegisteredHost> choose(
            GroupId group, Optional<DataCentreId> primaryDataCentre, List<Candidate> candidates);
}
