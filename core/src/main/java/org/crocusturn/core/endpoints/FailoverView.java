package org.crocusturn.core.endpoints;

import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.operators.GroupRecord;
import org.crocusturn.core.operators.RendezvousHash;

/**
 * Is everything that a failover decision of one group depends on.
 *
 * @param group the group as control hosts agreed on it
 * @param instances number of instances that the service declares
 * @param copies its copies, in the order of the endpoints' names
 * @param silenced whether no host can acknowledge a write of any term so far: there is no
 *     leaseholder, it confirmed that it dropped the term, or its lease for the term ran out
 * @param dropped whether the leaseholder reported that it dropped the current term
 */
public record FailoverView(
        GroupRecord group,
        int instances,
        List<CopyHealth> copies,
        boolean silenced,
        boolean dropped) {
    /** A replica at most this many entries behind catches up within a short hold. */
    static final long NEAR_ENTRIES = 100;

    /** Copies the list. */
    public FailoverView {
        Objects.requireNonNull(group, "group");
        copies = List.copyOf(copies);
    }

    /** Returns the copy of an endpoint. */
    public Optional<CopyHealth> copy(EndpointId endpoint) {
        return copies.stream().filter(c -> c.id().equals(endpoint)).findFirst();
    }

    /** Returns the copy of the current primary. */
    public Optional<CopyHealth> primary() {
        return group.primary().flatMap(this::copy);
    }

    /**
     * Returns how many copies must be fenced before a promotion: a majority, and enough that at
     * least one of any two copies is among them, because a durable write is on two copies only.
     */
    public int quorum() {
        return Math.max(instances / 2 + 1, instances - 1);
    }

    /** Returns whether enough copies are reachable for a promotion. */
    public boolean hasQuorum() {
        return copies.stream().filter(CopyHealth::reachable).count() >= quorum();
    }

    /** Returns whether every instance that the service declares is reachable. */
    public boolean allReachable() {
        return copies.stream().filter(CopyHealth::reachable).count() >= instances;
    }

    /** Returns the rendezvous score of a copy; it spreads the primaries over the endpoints. */
    long score(CopyHealth copy) {
        return RendezvousHash.score(group.id().toString(), copy.id().value());
    }

    /** Returns the reachable copy in service that should be primary if all else is equal. */
    public Optional<CopyHealth> preferred() {
        return copies.stream()
                .filter(CopyHealth::reachable)
                .filter(CopyHealth::inService)
                .max(Comparator.comparingLong(this::score));
    }

    /** Returns whether a copy of the term catches up with the primary within a short hold. */
    boolean isNear(CopyHealth copy) {
        return copy.term() == group.term()
                && primary()
                        .filter(p -> p.position().index() - copy.position().index() <= NEAR_ENTRIES)
                        .isPresent();
    }

    /**
     * Returns the replica in service that should follow the primary, if there is one: the preferred
     * copy if it has nearly caught up, else the one with the highest position.
     */
    public Optional<CopyHealth> successor() {
        Optional<CopyHealth> preferred =
                preferred()
                        .filter(c -> !group.primary().equals(Optional.of(c.id())))
                        .filter(this::isNear);
        return preferred.isPresent() ? preferred : highestReplica();
    }

    private Optional<CopyHealth> highestReplica() {
        return copies.stream()
                .filter(CopyHealth::reachable)
                .filter(CopyHealth::inService)
                .filter(c -> !group.primary().equals(Optional.of(c.id())))
                .filter(c -> c.term() == group.term())
                .reduce((a, b) -> b.position().compareTo(a.position()) > 0 ? b : a);
    }
}
