package org.crocusturn.core.entryhosts;

import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.crocusturn.core.GroupId;
import org.crocusturn.core.HostId;
import org.crocusturn.core.controlhosts.EntryReport;
import org.crocusturn.core.controlhosts.HeldLease;
import org.crocusturn.core.operators.ControlState;
import org.crocusturn.core.operators.GroupRecord;
import org.crocusturn.core.operators.Leaseholder;
import org.pcollections.HashTreePMap;
import org.pcollections.HashTreePSet;
import org.pcollections.PMap;
import org.pcollections.PSet;

/**
 * Leases of all groups, indexed by group and by holder. Immutable.
 *
 * <p>Each change costs O(log groups); {@link #inherited} costs O(groups).
 *
 * @param leases lease of each group
 * @param byHost groups whose recorded holder is a host
 * @param moves number of planned moves in progress from or to a host
 */
public record LeaseTable(
        PMap<GroupId, GroupLease> leases,
        PMap<HostId, PSet<GroupId>> byHost,
        PMap<HostId, Integer> moves) {
    /** Checks that no part is null. */
    public LeaseTable {
        Objects.requireNonNull(leases, "leases");
        Objects.requireNonNull(byHost, "byHost");
        Objects.requireNonNull(moves, "moves");
    }

    /** Creates the table of a new leader; every recorded lease may be in use for 1,020 ms. */
    public static LeaseTable inherited(ControlState state, long nowNanos) {
        LeaseTable table =
                new LeaseTable(HashTreePMap.empty(), HashTreePMap.empty(), HashTreePMap.empty());
        for (GroupRecord group : state.groups().values()) {
            table = table.with(GroupLease.inherited(group, nowNanos));
        }
        return table;
    }

    /** Returns the lease of a group, if the group exists. */
    public Optional<GroupLease> lease(GroupId group) {
        return Optional.ofNullable(leases.get(group));
    }

    /** Returns the groups whose recorded holder is a host. */
    public Set<GroupId> groupsOf(HostId host) {
        return byHost.getOrDefault(host, HashTreePSet.empty());
    }

    /** Returns whether a planned move from or to a host is in progress. */
    public boolean isMoving(HostId host) {
        return movesOf(host) > 0;
    }

    /** Returns the number of planned moves from or to a host that are in progress. */
    int movesOf(HostId host) {
        return moves.getOrDefault(host, 0);
    }

    /** Returns the table after the record of a group may have changed. */
    public LeaseTable withRecord(GroupRecord group, long nowNanos) {
        GroupLease known = leases.get(group.id());
        boolean same = known != null && known.holder().equals(group.leaseholder());
        return same
                ? this
                : with(
                        known == null
                                ? GroupLease.of(group, nowNanos)
                                : known.withRecord(group, nowNanos));
    }

    /** Returns the table without a group. */
    public LeaseTable withoutGroup(GroupId group) {
        GroupLease known = leases.get(group);
        return known == null ? this : without(known);
    }

    /** Returns the table after a report; leases of other epochs or processes are ignored. */
    public LeaseTable with(EntryReport report) {
        LeaseTable table = this;
        for (HeldLease held : report.leases()) {
            GroupLease known = leases.get(held.group());
            boolean current =
                    known != null
                            && known.epoch() == held.epoch()
                            && known.holder().filter(h -> isFrom(h, report)).isPresent();
            table = current ? table.with(known.with(held)) : table;
        }
        return table;
    }

    /** Returns the table in which a lease replaces that of the same group. */
    public LeaseTable with(GroupLease lease) {
        GroupLease known = leases.get(lease.group());
        LeaseTable base = known == null ? this : without(known);
        return new LeaseTable(
                base.leases.plus(lease.group(), lease),
                lease.holder()
                        .map(h -> base.byHost.plus(h.host(), base.plus(h.host(), lease.group())))
                        .orElse(base.byHost),
                counted(base.moves, lease, 1));
    }

    private LeaseTable without(GroupLease lease) {
        return new LeaseTable(
                leases.minus(lease.group()),
                lease.holder()
                        .map(h -> byHost.plus(h.host(), minus(h.host(), lease.group())))
                        .orElse(byHost),
                counted(moves, lease, -1));
    }

    private PSet<GroupId> plus(HostId host, GroupId group) {
        return byHost.getOrDefault(host, HashTreePSet.empty()).plus(group);
    }

    private PSet<GroupId> minus(HostId host, GroupId group) {
        return byHost.getOrDefault(host, HashTreePSet.empty()).minus(group);
    }

    private static PMap<HostId, Integer> counted(
            PMap<HostId, Integer> moves, GroupLease lease, int change) {
        PMap<HostId, Integer> next = moves;
        if (lease.moving() && lease.holder().isPresent()) {
            next = counted(next, lease.holder().get().host(), change);
            next = counted(next, lease.target().get(), change);
        }
        return next;
    }

    private static PMap<HostId, Integer> counted(
            PMap<HostId, Integer> moves, HostId host, int change) {
        int count = moves.getOrDefault(host, 0) + change;
        return count == 0 ? moves.minus(host) : moves.plus(host, count);
    }

    private static boolean isFrom(Leaseholder holder, EntryReport report) {
        return holder.host().equals(report.host()) && holder.incarnation() == report.incarnation();
    }
}
