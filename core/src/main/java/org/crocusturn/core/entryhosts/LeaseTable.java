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
 * @param groupsByHost groups whose recorded holder is a host
 * @param moveCounts number of planned moves in progress from or to a host
 */
public record LeaseTable(
        PMap<GroupId, LeaseState> leases,
        PMap<HostId, PSet<GroupId>> groupsByHost,
        PMap<HostId, Integer> moveCounts) {
    /** Checks that no part is null. */
    public LeaseTable {
        Objects.requireNonNull(leases, "leases");
        Objects.requireNonNull(groupsByHost, "groupsByHost");
        Objects.requireNonNull(moveCounts, "moveCounts");
    }

    /** Creates the table of a new leader; every recorded lease may be in use for 1,020 ms. */
    public static LeaseTable inherited(ControlState state, long nowNanos) {
        LeaseTable table =
                new LeaseTable(HashTreePMap.empty(), HashTreePMap.empty(), HashTreePMap.empty());
        for (GroupRecord group : state.groups().values()) {
            table = table.with(LeaseState.inherited(group, nowNanos));
        }
        return table;
    }

    /** Returns the lease of a group, if the group exists. */
    public Optional<LeaseState> lease(GroupId group) {
        return Optional.ofNullable(leases.get(group));
    }

    /** Returns the groups whose recorded holder is a host. */
    public Set<GroupId> groupsOf(HostId host) {
        return groupsByHost.getOrDefault(host, HashTreePSet.empty());
    }

    /** Returns whether a planned move from or to a host is in progress. */
    public boolean isMoving(HostId host) {
        return moveCount(host) > 0;
    }

    /** Returns the number of planned moves from or to a host that are in progress. */
    int moveCount(HostId host) {
        return moveCounts.getOrDefault(host, 0);
    }

    /** Returns the table after the record of a group may have changed. */
    public LeaseTable withRecord(GroupRecord group, long nowNanos) {
        LeaseState known = leases.get(group.id());
        boolean sameHolder = known != null && known.holder().equals(group.leaseholder());
        return sameHolder
                ? this
                : with(
                        known == null
                                ? LeaseState.of(group, nowNanos)
                                : known.withRecord(group, nowNanos));
    }

    /** Returns the table without a group. */
    public LeaseTable withoutGroup(GroupId group) {
        LeaseState known = leases.get(group);
        return known == null ? this : without(known);
    }

    /** Returns the table after a report; leases of other epochs or processes are ignored. */
    public LeaseTable with(EntryReport report) {
        LeaseTable table = this;
        for (HeldLease held : report.leases()) {
            LeaseState known = leases.get(held.group());
            boolean current =
                    known != null
                            && known.epoch() == held.epoch()
                            && known.holder().filter(h -> isHeldBySender(h, report)).isPresent();
            table = current ? table.with(known.with(held)) : table;
        }
        return table;
    }

    /** Returns the table in which a lease replaces that of the same group. */
    public LeaseTable with(LeaseState lease) {
        LeaseState known = leases.get(lease.group());
        LeaseTable base = known == null ? this : without(known);
        return new LeaseTable(
                base.leases.plus(lease.group(), lease),
                lease.holder()
                        .map(
                                h ->
                                        base.groupsByHost.plus(
                                                h.host(), base.groupsWith(h.host(), lease.group())))
                        .orElse(base.groupsByHost),
                adjustMoveCounts(base.moveCounts, lease, 1));
    }

    private LeaseTable without(LeaseState lease) {
        return new LeaseTable(
                leases.minus(lease.group()),
                lease.holder()
                        .map(
                                h ->
                                        groupsByHost.plus(
                                                h.host(), groupsWithout(h.host(), lease.group())))
                        .orElse(groupsByHost),
                adjustMoveCounts(moveCounts, lease, -1));
    }

    private PSet<GroupId> groupsWith(HostId host, GroupId group) {
        return groupsByHost.getOrDefault(host, HashTreePSet.empty()).plus(group);
    }

    private PSet<GroupId> groupsWithout(HostId host, GroupId group) {
        return groupsByHost.getOrDefault(host, HashTreePSet.empty()).minus(group);
    }

    private static PMap<HostId, Integer> adjustMoveCounts(
            PMap<HostId, Integer> moves, LeaseState lease, int change) {
        PMap<HostId, Integer> next = moves;
        if (lease.moving() && lease.holder().isPresent()) {
            next = adjustMoveCounts(next, lease.holder().get().host(), change);
            next = adjustMoveCounts(next, lease.target().get(), change);
        }
        return next;
    }

    private static PMap<HostId, Integer> adjustMoveCounts(
            PMap<HostId, Integer> moves, HostId host, int change) {
        int count = moves.getOrDefault(host, 0) + change;
        return count == 0 ? moves.minus(host) : moves.plus(host, count);
    }

    private static boolean isHeldBySender(Leaseholder holder, EntryReport report) {
        return holder.host().equals(report.host()) && holder.incarnation() == report.incarnation();
    }
}
