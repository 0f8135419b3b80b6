package org.crocusturn.core.entryhosts;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.crocusturn.core.DataCentreId;
import org.crocusturn.core.GroupId;

/**
 * Lets another policy choose among the hosts that have reached the minimum uptime, if they have
 * enough capacity.
 *
 * <p>After the core hosts of a site had lost power, their leases went back to processes that had
 * just started, because these can relay more than the entry hosts. A process is slow for some
 * seconds after its start, while entry hosts with 0.8 of the capacity had run throughout.
 */
public final class WarmHostPlacement implements PlacementPolicy {
    /** Share of the best capacity from which a warmed-up host is preferred to a cold one. */
    private static final double SUFFICIENT_SHARE = 0.7;

    private final PlacementPolicy mNext;

    private WarmHostPlacement(PlacementPolicy next) {
        mNext = next;
    }

    /** Creates a policy that restricts the candidates of another one. */
    public static WarmHostPlacement of(PlacementPolicy next) {
        return new WarmHostPlacement(Objects.requireNonNull(next, "next"));
    }

    @Override
    public Optional<RegisteredHost> choose(
            GroupId group, Optional<DataCentreId> primaryDataCentre, List<Candidate> candidates) {
        int best = candidates.stream().mapToInt(c -> c.host().relayCapacity()).max().orElse(0);
        boolean sufficient =
                candidates.stream()
                        .filter(Candidate::warmedUp)
                        .anyMatch(c -> c.host().relayCapacity() >= SUFFICIENT_SHARE * best);
        List<Candidate> preferred =
                sufficient ? candidates.stream().filter(Candidate::warmedUp).toList() : candidates;
        return mNext.choose(group, primaryDataCentre, preferred);
    }
}
