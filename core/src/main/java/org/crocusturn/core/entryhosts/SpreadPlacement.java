package org.crocusturn.core.entryhosts;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.crocusturn.core.DataCentreId;
import org.crocusturn.core.GroupId;
import org.crocusturn.core.operators.RendezvousHash;

/**
 * Spreads leases over hosts that have run for a while, near the primary if there are any.
 *
 * <p>Answers the load of a restart of all hosts in turn: a process that has just started is slow
 * for seconds, and by hashing alone it got the leases of several groups within them. A holder keeps
 * its lease unless another host has fewer, so a host that comes back does not cause moves.
 * Rendezvous hashing decides between equals. A choice costs O(options).
 */
public final class SpreadPlacement implements PlacementPolicy {
    @Override
    public Optional<RegisteredHost> choose(
            GroupId group, Optional<DataCentreId> primaryDataCentre, List<Option> options) {
        long key = RendezvousHash.hash(group.toString());
        Comparator<Option> order =
                Comparator.comparing(Option::settled)
                        .thenComparing(
                                o ->
                                        primaryDataCentre
                                                .filter(o.host().dataCentre()::equals)
                                                .isPresent())
                        .thenComparing(Comparator.comparingInt(Option::groups).reversed())
                        .thenComparing(Option::holder)
                        .thenComparingLong(
                                o ->
                                        RendezvousHash.score(
                                                key, RendezvousHash.hash(o.host().id().value())))
                        .thenComparing(o -> o.host().id());
        return options.stream().max(order).map(Option::host);
    }
}
