package org.crocusturn.core.endpoints;

import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.operators.GroupRecord;
import org.crocusturn.core.operators.RendezvousHash;

/**
 * Input of the failover decisions of one group.
 *
 * @param group replicated record of the group
 * @param instances number of instances that the service configures
 * @param copies copies of the group, ordered by endpoint
 * @param acknowledgementsStopped whether no host can acknowledge writes of the current or an
 *     earlier term: there is no leaseholder, it confirmed that it dropped the term, or its lease
 *     for the term expired
 * @param termDropped whether the leaseholder reported that it dropped the current term
 */
public record FailoverView(
        GroupRecord group,
        int instances,
        List<CopyHealth> copies,
        boolean acknowledgementsStopped,
        boolean termDropped) {
    /**
     * Maximum lag, in log entries, that a replica can catch up on while writes are briefly paused.
     */
    static final long MAX_NEAR_LAG_ENTRIES = 100;

    /** Takes a defensive copy of the list. */
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
     * Returns how many copies must be fenced before a promotion: a majority that also includes at
     * least one of any two copies, because a durable write exists on only two copies.
     */
    public int quorum() {
        return Math.max(instances / 2 + 1, instances - 1);
    }

    /** Returns whether enough copies are reachable for a promotion. */
    public boolean hasQuorum() {
        return copies.stream().filter(CopyHealth::reachable).count() >= quorum();
    }

    /** Returns whether all configured instances are reachable. */
    public boolean allReachable() {
        return copies.stream().filter(CopyHealth::reachable).count() >= instances;
    }

    /** Returns the rendezvous hash of a copy, which distributes primaries over the endpoints. */
    long score(CopyHealth copy) {
        return RendezvousHash.score(group.id().toString(), copy.id().value());
    }

    /** Returns the reachable copy in service with the highest rendezvous score. */
    public Optional<CopyHealth> preferred() {
        return copies.stream()
                .filter(CopyHealth::reachable)
                .filter(CopyHealth::inService)
                .max(Comparator.comparingLong(this::score));
    }

    /** Returns whether a copy of the current term can catch up while writes are briefly paused. */
    boolean isNearlyCaughtUp(CopyHealth copy) {
        return copy.term() == group.term()
                && primary()
                        .filter(
                                p ->
                                        p.position().index() - copy.position().index()
                                                <= MAX_NEAR_LAG_ENTRIES)
                        .isPresent();
    }

    /**
     * Returns the replica in service that should succeed the primary, if there is one: the
     * preferred copy if it has nearly caught up, otherwise the one with the highest position.
     */
    public Optional<CopyHealth> successor() {
        Optional<CopyHealth> preferred =
                preferred()
                        .filter(c -> !group.primary().equals(Optional.of(c.id())))
                        .filter(this::isNearlyCaughtUp);
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
