package org.crocusturn.core.entryhosts;

import java.util.List;
import java.util.Optional;
import org.crocusturn.core.DataCentreId;
import org.crocusturn.core.GroupId;

/** Chooses the entry host for a group lease; implementations are pure. */
public interface PlacementPolicy {
    /**
     * Returns the host that should hold a group's lease, or empty if there is none.
     *
     * @param group the group
     * @param primaryDataCentre where the group's primary is, if there is one
     * @param eligible hosts that are alive, not leaving and in a data centre in service
     */
    Optional<RegisteredHost> choose(
            GroupId group, Optional<DataCentreId> primaryDataCentre, List<RegisteredHost> eligible);
}
