package org.crocusturn.core.entryhosts;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.crocusturn.core.DataCentreId;
import org.crocusturn.core.GroupId;
import org.crocusturn.core.operators.Rendezvous;

/**
 * Chooses by rendezvous hashing, among the hosts in the primary's data centre if there are any.
 *
 * <p>A choice costs O(eligible hosts).
 */
public final class RendezvousPlacement implements PlacementPolicy {
    @Override
    public Optional<RegisteredHost> choose(
            GroupId group,
            Optional<DataCentreId> primaryDataCentre,
            List<RegisteredHost> eligible) {
        long key = Rendezvous.hash(group.toString());
        Comparator<RegisteredHost> order =
                Comparator.<RegisteredHost, Boolean>comparing(
                                h -> primaryDataCentre.filter(h.dataCentre()::equals).isPresent())
                        .thenComparingLong(
                                h -> Rendezvous.score(key, Rendezvous.hash(h.id().value())))
                        .thenComparing(RegisteredHost::id);
        return eligible.stream().max(order);
    }
}
