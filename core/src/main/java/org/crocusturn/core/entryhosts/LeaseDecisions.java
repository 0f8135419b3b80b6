package org.crocusturn.core.entryhosts;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.crocusturn.core.DataCentreId;
import org.crocusturn.core.GroupId;
import org.crocusturn.core.endpoints.FailoverPhase;
import org.crocusturn.core.operators.ControlCommand.AssignLease;
import org.crocusturn.core.operators.ControlCommand.ReleaseLease;
import org.crocusturn.core.operators.EndpointRecord;
import org.crocusturn.core.operators.GroupRecord;
import org.crocusturn.core.operators.Leaseholder;

/** Assigns and moves group leases within one step of {@link ControlLeader}. */
final class LeaseDecisions {
    /** Time for which a new leader collects reports of hosts before it assigns free leases. */
    static final long SETTLE_NANOS = Duration.ofMillis(400).toNanos();

    /** Time for which a host must have been alive before leases of live holders move to it. */
    static final long STABLE_NANOS = Duration.ofSeconds(2).toNanos();

    static final long PROPOSAL_REPEAT_NANOS = Duration.ofSeconds(1).toNanos();

    /** Maximum number of placement candidates that rebalancing evaluates at a tick. */
    static final int SCORES_PER_TICK = 5_000;

    private final LeaderTurn mTurn;

    LeaseDecisions(LeaderTurn turn) {
        mTurn = turn;
    }

    /** Checks one group; costs O(1), or O(hosts) if the lease needs another holder. */
    void check(GroupId id) {
        GroupRecord record = mTurn.mState.control().groups().get(id);
        Optional<GroupLease> known = mTurn.mState.leases().lease(id);
        if (record == null || known.isEmpty() || isProposed(known.get())) {
            return;
        }
        GroupLease lease = known.get();
        if (lease.holder().isEmpty()) {
            if (mTurn.mNow - mTurn.mState.gainedNanos() >= SETTLE_NANOS) {
                assign(record, lease, "the group has no leaseholder");
            }
            return;
        }
        Leaseholder holder = lease.holder().get();
        boolean live =
                mTurn.mState.registry().isLive(holder.host(), holder.incarnation(), mTurn.mNow);
        if (lease.released()) {
            // Choosing again would count the lease that is moving to the target against the
            // target, and could select another host.
            assign(
                    record,
                    lease,
                    target(lease).or(() -> choose(record)),
                    holder.host() + " released it");
        } else if (isSuperseded(holder)) {
            assign(record, lease, holder.host() + " runs a new process");
        } else if (lease.isOver(mTurn.mNow) && (lease.closed() || !live)) {
            assign(record, lease, "the lease of " + holder.host() + " expired");
        } else if (live && !lease.moving() && !lease.closed()) {
            leave(record, lease, holder);
        }
    }

    /**
     * Returns whether another process of the holder's host has replaced the holder. The lease is
     * then reassigned without waiting for its expiry, which saves 1 s after a power loss.
     */
    private boolean isSuperseded(Leaseholder holder) {
        return mTurn.mState
                .registry()
                .host(holder.host())
                .filter(h -> h.hasReplaced(holder.incarnation(), holder.linkAddress()))
                .isPresent();
    }

    private boolean isProposed(GroupLease lease) {
        return lease.proposed() && mTurn.mNow - lease.proposedNanos() < PROPOSAL_REPEAT_NANOS;
    }

    private Optional<RegisteredHost> target(GroupLease lease) {
        return lease.target()
                .flatMap(t -> mTurn.eligible().stream().filter(h -> h.id().equals(t)).findFirst());
    }

    private void assign(GroupRecord record, GroupLease lease, String reason) {
        assign(record, lease, choose(record), reason);
    }

    private void assign(
            GroupRecord record, GroupLease lease, Optional<RegisteredHost> next, String reason) {
        if (next.isEmpty() && lease.holder().isEmpty()) {
            return;
        }
        if (lease.holder().isPresent()) {
            mTurn.propose(new ReleaseLease(record.id(), lease.epoch()));
        }
        next.ifPresent(
                host -> {
                    mTurn.place(host.id());
                    long epoch = record.lastEpoch() + 1;
                    mTurn.propose(
                            new AssignLease(
                                    record.id(),
                                    new Leaseholder(
                                            host.id(),
                                            host.linkAddress(),
                                            host.incarnation(),
                                            epoch)));
                    log(record, "epoch " + epoch + " is assigned to " + host.id() + ": " + reason);
                });
        mTurn.mState = mTurn.mState.withLease(lease.withProposal(mTurn.mNow));
    }

    // Moves all leases of a leaving host or drained data centre at once, because a planned stop
    // lasts only seconds.
    private void leave(GroupRecord record, GroupLease lease, Leaseholder holder) {
        RegisteredHost host = mTurn.mState.registry().host(holder.host()).orElseThrow();
        boolean drained = mTurn.mState.control().drained().contains(host.dataCentre());
        if (host.leaving() || drained) {
            choose(record)
                    .ifPresent(
                            target ->
                                    move(
                                            record,
                                            lease,
                                            target,
                                            drained
                                                    ? "its data centre is drained"
                                                    : "its host is leaving"));
        }
    }

    /** Moves leases to the hosts that the placement policy prefers; costs O(hosts). */
    void rebalance() {
        List<RegisteredHost> hosts = mTurn.eligible();
        List<GroupId> groups = mTurn.mState.failovers().order();
        if (hosts.isEmpty()
                || groups.isEmpty()
                || mTurn.mNow - mTurn.mState.gainedNanos() < STABLE_NANOS) {
            return;
        }
        int count = Math.min(groups.size(), Math.max(1, SCORES_PER_TICK / hosts.size()));
        int start = mTurn.mState.placementCursor() % groups.size();
        for (int i = 0; i < count; i++) {
            improve(groups.get((start + i) % groups.size()));
        }
        mTurn.mState =
                mTurn.mState.withCursors(mTurn.mState.cursor(), (start + count) % groups.size());
    }

    private void improve(GroupId id) {
        GroupLease lease = mTurn.mState.leases().lease(id).orElse(null);
        GroupRecord record = mTurn.mState.control().groups().get(id);
        boolean quiet =
                lease != null
                        && record != null
                        && lease.holder().isPresent()
                        && !lease.moving()
                        && !lease.closed()
                        && !lease.released()
                        && mTurn.mState
                                .failovers()
                                .group(id)
                                .filter(f -> f.phase() == FailoverPhase.HEALTHY)
                                .isPresent();
        if (!quiet || mTurn.mState.leases().isMoving(lease.holder().get().host())) {
            return;
        }
        Leaseholder holder = lease.holder().get();
        choose(record)
                .filter(t -> !t.id().equals(holder.host()))
                .filter(t -> mTurn.mNow - t.joinedNanos() >= STABLE_NANOS)
                .filter(t -> !mTurn.mState.leases().isMoving(t.id()))
                .filter(
                        t ->
                                mTurn.mState
                                        .registry()
                                        .isLive(holder.host(), holder.incarnation(), mTurn.mNow))
                .ifPresent(t -> move(record, lease, t, "placement prefers the target"));
    }

    private void move(GroupRecord record, GroupLease lease, RegisteredHost target, String reason) {
        Leaseholder holder = lease.holder().orElseThrow();
        mTurn.mState = mTurn.mState.withLease(lease.withTarget(target.id()));
        mTurn.tell(holder.host());
        log(record, "moves from " + holder.host() + " to " + target.id() + ": " + reason);
    }

    private Optional<RegisteredHost> choose(GroupRecord record) {
        Optional<DataCentreId> primary =
                record.primary()
                        .map(e -> mTurn.mState.control().endpoints().get(e))
                        .map(EndpointRecord::dataCentre);
        return mTurn.mPlacement.choose(
                record.id(),
                primary,
                mTurn.eligible().stream().map(h -> option(h, isHolder(h, record))).toList());
    }

    private static boolean isHolder(RegisteredHost host, GroupRecord record) {
        return record.leaseholder()
                .filter(l -> l.host().equals(host.id()) && l.incarnation() == host.incarnation())
                .isPresent();
    }

    private PlacementPolicy.Option option(RegisteredHost host, boolean holder) {
        int groups = mTurn.groups(host.id()) - (holder ? 1 : 0);
        boolean settled = holder || mTurn.mNow - host.joinedNanos() >= STABLE_NANOS;
        return new PlacementPolicy.Option(host, groups, settled, holder);
    }

    private void log(GroupRecord record, String text) {
        mTurn.log("entryhosts: lease of group " + record.id() + ": " + text + ".");
    }
}
