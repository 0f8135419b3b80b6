package org.crocusturn.core.entryhosts;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.crocusturn.core.DataCentreId;
import org.crocusturn.core.GroupId;
import org.crocusturn.core.operators.RendezvousHash;

/**
 * Spreads leases evenly over hosts that have reached the minimum uptime, with preference for the
 * data centre of the primary.
 *
 * <p>A process is slow for some seconds after its start. Placement by hashing alone assigned the
 * leases of several groups to such a process during a rolling restart. A holder keeps its lease
 * unless another host has fewer, so a returning host causes no needless moves. Rendezvous hashing
 * breaks ties. A choice costs O(candidates).
 *
 * <p>A leaseholder relays every statement of its groups, so hosts that can relay fewer than the
 * best one come last. The queues of an overloaded host grow until calls end at their deadlines.
 */
public final class SpreadPlacement implements PlacementPolicy {
    /** Share of the best candidate's capacity that a candidate needs to be an equal choice. */
    private static final double SUFFICIENT_SHARE = 0.9;

    @Override
    public Optional<RegisteredHost> choose(
            GroupId group, Optional<DataCentreId> primaryDataCentre, List<Candidate> candidates) {
        long key = RendezvousHash.hash(group.toString());
        double sufficient =
                SUFFICIENT_SHARE
                        * candidates.stream()
                                .mapToInt(c -> c.host().relayCapacity())
                                .max()
                                .orElse(0);
        Comparator<Candidate> order =
                Comparator.<Candidate, Boolean>comparing(
                                c -> c.host().relayCapacity() >= sufficient)
                        .thenComparing(Candidate::warmedUp)
                        .thenComparing(
                                o ->
                                        primaryDataCentre
                                                .filter(o.host().dataCentre()::equals)
                                                .isPresent())
                        .thenComparing(Comparator.comparingInt(Candidate::leaseCount).reversed())
                        .thenComparing(Candidate::holder)
                        .thenComparingLong(
                                o ->
                                        RendezvousHash.score(
                                                key, RendezvousHash.hash(o.host().id().value())))
                        .thenComparing(o -> o.host().id());
        return candidates.stream().max(order).map(Candidate::host);
    }
}
