package org.crocusturn.core.entryhosts;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.crocusturn.core.DataCentreId;
import org.crocusturn.core.GroupId;

/** Chooses the entry host for a group lease; implementations are pure. */
public interface PlacementPolicy {
    /**
     * Is a host that may get the lease: alive, not leaving and in a data centre in service.
     *
     * @param host the host
     * @param groups leases of other groups that it holds or is about to get
     * @param settled whether it has run for a while, or holds the lease already
     * @param holder whether it holds the lease
     */
    record Option(RegisteredHost host, int groups, boolean settled, boolean holder) {
        /** Checks that the host is not null. */
        public Option {
            Objects.requireNonNull(host, "host");
        }
    }

    /**
     * Returns the host that should hold a group's lease, or empty if there is none.
     *
     * @param group the group
     * @param primaryDataCentre where the group's primary is, if there is one
     * @param options hosts that may get the lease
     */
    Optional<RegisteredHost> choose(
            GroupId group, Optional<DataCentreId> primaryDataCentre, List<Option> options);
}
