package org.crocusturn.core.entryhosts;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
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
    static final long INITIAL_WAIT_NANOS = Duration.ofMillis(400).toNanos();

    /** Time for which a host must have been alive before leases of live holders move to it. */
    static final long MIN_UPTIME_NANOS = Duration.ofSeconds(2).toNanos();

    static final long PROPOSAL_RETRY_NANOS = Duration.ofSeconds(1).toNanos();

    /** Maximum number of placement candidates that rebalancing evaluates at a tick. */
    static final int MAX_SCORES_PER_TICK = 5_000;

    /**
     * Ticks in which rebalancing looks at all groups in turn, half a second. A choice costs
     * O(hosts), and a lease that could be better placed is not urgent; those of hosts that stop are
     * moved by {@link #checkGroup}.
     */
    static final int TICKS_PER_REBALANCING = 25;

    /**
     * Time from the begin of a move until its group is served again. Rebalancing interrupts no
     * other group meanwhile.
     */
    static final long MOVE_INTERVAL_NANOS = Duration.ofSeconds(5).toNanos();

    /** Number of groups of which one may be moving; others follow when it is served. */
    private static final int GROUPS_PER_MOVE = 32;

    private static final List<MovePolicy> MOVE_POLICIES =
            List.of(new MoveForCapacity(), new MoveForBalance(), new MoveForDataCentre());

    private final LeaderStep mStep;

    LeaseDecisions(LeaderStep step) {
        mStep = step;
    }

    /** Checks one group; costs O(1), or O(hosts) if the lease needs another holder. */
    void checkGroup(GroupId id) {
        GroupRecord record = mStep.mState.control().groups().get(id);
        Optional<LeaseState> known = mStep.mState.leases().lease(id);
        if (record == null
                || known.isEmpty()
                || isProposed(known.get())
                || !mStep.mState.control().isConfigured(id)) {
            return;
        }
        LeaseState lease = known.get();
        if (lease.holder().isEmpty()) {
            if (mStep.mNowNanos - mStep.mState.leadingSinceNanos() >= INITIAL_WAIT_NANOS) {
                assign(record, lease, "the group has no leaseholder");
            }
            return;
        }
        Leaseholder holder = lease.holder().get();
        boolean live =
                mStep.mState
                        .registry()
                        .isLive(holder.host(), holder.incarnation(), mStep.mNowNanos);
        if (lease.released()) {
            // Choosing again would count the lease that is moving to the target against the
            // target, and could select another host.
            assign(
                    record,
                    lease,
                    target(lease).or(() -> choose(record)),
                    holder.host() + " released it");
        } else if (isSuperseded(holder) && hasChoice(record)) {
            assign(record, lease, holder.host() + " runs a new process");
        } else if (lease.hasEnded(mStep.mNowNanos) && (lease.renewalStopped() || !live)) {
            assign(record, lease, "the lease of " + holder.host() + " expired");
        } else if (live && !lease.moving() && !lease.renewalStopped()) {
            moveIfLeaving(record, lease, holder);
        }
    }

    /**
     * Returns whether another process of the holder's host has replaced the holder. The lease is
     * then reassigned without waiting for its expiry, which saves 1 s after a power loss.
     */
    private boolean isSuperseded(Leaseholder holder) {
        return mStep.mState
                .registry()
                .host(holder.host())
                .filter(h -> h.hasReplaced(holder.incarnation(), holder.linkAddress()))
                .isPresent();
    }

    /**
     * Returns whether the hosts that have reported are worth choosing from. The first to report to
     * a new leader may be those that have just started, while others have run throughout. Processes
     * that do not report their uptime are not compared.
     */
    private boolean hasChoice(GroupRecord record) {
        return mStep.mNowNanos - mStep.mState.leadingSinceNanos() >= INITIAL_WAIT_NANOS
                || choose(record)
                        .filter(host -> host.uptimeMillis() == 0 || isWarmedUp(host))
                        .isPresent();
    }

    private boolean isWarmedUp(RegisteredHost host) {
        return mStep.mNowNanos - host.aliveSinceNanos() >= MIN_UPTIME_NANOS;
    }

    private boolean isProposed(LeaseState lease) {
        return lease.proposalPending()
                && mStep.mNowNanos - lease.proposedNanos() < PROPOSAL_RETRY_NANOS;
    }

    private Optional<RegisteredHost> target(LeaseState lease) {
        return lease.target()
                .flatMap(t -> mStep.eligible().stream().filter(h -> h.id().equals(t)).findFirst());
    }

    private void assign(GroupRecord record, LeaseState lease, String reason) {
        assign(record, lease, choose(record), reason);
    }

    private void assign(
            GroupRecord record, LeaseState lease, Optional<RegisteredHost> next, String reason) {
        if (next.isEmpty() && lease.holder().isEmpty()) {
            return;
        }
        if (lease.holder().isPresent()) {
            mStep.propose(new ReleaseLease(record.id(), lease.epoch()));
        }
        next.ifPresent(
                host -> {
                    mStep.countAssignment(host.id());
                    long epoch = record.lastEpoch() + 1;
                    mStep.propose(
                            new AssignLease(
                                    record.id(),
                                    new Leaseholder(
                                            host.id(),
                                            host.linkAddress(),
                                            host.incarnation(),
                                            epoch)));
                    log(record, "epoch " + epoch + " is assigned to " + host.id() + ": " + reason);
                });
        mStep.mState = mStep.mState.withLease(lease.withProposal(mStep.mNowNanos));
    }

    // Moves all leases of a leaving host or drained data centre at once, because a planned stop
    // lasts only seconds.
    private void moveIfLeaving(GroupRecord record, LeaseState lease, Leaseholder holder) {
        RegisteredHost host = mStep.mState.registry().host(holder.host()).orElseThrow();
        boolean drained = mStep.mState.control().drained().contains(host.dataCentre());
        if (host.leaving() || drained) {
            choose(record)
                    .ifPresent(
                            target ->
                                    startMove(
                                            record,
                                            lease,
                                            target,
                                            drained
                                                    ? "its data centre is drained"
                                                    : "its host is leaving"));
        }
    }

    /**
     * Moves leases to the hosts that the placement policy prefers. Looks at a part of the groups,
     * which costs O(hosts) for each.
     */
    void rebalance() {
        List<RegisteredHost> hosts = mStep.eligible();
        List<GroupId> groups = mStep.mState.failovers().sortedGroups();
        if (hosts.isEmpty()
                || groups.isEmpty()
                || mStep.mNowNanos - mStep.mState.leadingSinceNanos() < MIN_UPTIME_NANOS) {
            return;
        }
        int part = (groups.size() + TICKS_PER_REBALANCING - 1) / TICKS_PER_REBALANCING;
        int count = Math.min(part, Math.max(1, MAX_SCORES_PER_TICK / hosts.size()));
        int start = mStep.mState.placementCursor() % groups.size();
        IntStream.range(0, count)
                .mapToObj(i -> groups.get((start + i) % groups.size()))
                .forEach(this::rebalanceGroup);
        mStep.mState =
                mStep.mState.withCursors(
                        mStep.mState.groupCursor(), (start + count) % groups.size());
    }

    private void rebalanceGroup(GroupId id) {
        LeaseState lease = mStep.mState.leases().lease(id).orElse(null);
        GroupRecord record = mStep.mState.control().groups().get(id);
        boolean movable =
                lease != null
                        && record != null
                        && lease.holder().isPresent()
                        && !lease.moving()
                        && !lease.renewalStopped()
                        && !lease.released()
                        && mStep.mState
                                .failovers()
                                .group(id)
                                .filter(f -> f.phase() == FailoverPhase.HEALTHY)
                                .isPresent();
        if (!movable
                || mStep.mNowNanos - lease.heldSinceNanos() < LeaseTimes.MIN_STAY_NANOS
                || mStep.mState.leases().isMoving(lease.holder().get().host())) {
            return;
        }
        Leaseholder holder = lease.holder().get();
        boolean live =
                mStep.mState
                        .registry()
                        .isLive(holder.host(), holder.incarnation(), mStep.mNowNanos);
        choose(record)
                .filter(t -> live && !t.id().equals(holder.host()))
                .filter(this::isWarmedUp)
                .filter(t -> !mStep.mState.leases().isMoving(t.id()))
                .map(t -> move(lease, holder, t))
                .filter(this::isDue)
                .ifPresent(move -> startIfWorthwhile(record, lease, move));
    }

    private MovePolicy.Move move(LeaseState lease, Leaseholder holder, RegisteredHost target) {
        return new MovePolicy.Move(
                mStep.mState.registry().host(holder.host()).orElseThrow(),
                mStep.leaseCount(holder.host()) - 1,
                target,
                mStep.leaseCount(target.id()),
                mStep.mNowNanos - lease.heldSinceNanos(),
                mStep.mNowNanos - target.aliveSinceNanos());
    }

    /** Returns whether a move may begin now beside those that have begun before. */
    private boolean isDue(MovePolicy.Move move) {
        return (!move.addsCapacity() || mStep.mState.leases().moveCounts().isEmpty())
                && (!move.interruptsService()
                        || mStep.mState.nextMoveNanos() - mStep.mNowNanos <= 0);
    }

    private void startIfWorthwhile(GroupRecord record, LeaseState lease, MovePolicy.Move move) {
        MOVE_POLICIES.stream()
                .filter(policy -> policy.isWorthwhile(move))
                .findFirst()
                .ifPresent(
                        policy -> {
                            delayNextMove();
                            startMove(record, lease, move.target(), policy.reason());
                        });
    }

    private void delayNextMove() {
        int parts = Math.max(1, mStep.mState.failovers().sortedGroups().size() / GROUPS_PER_MOVE);
        mStep.mState = mStep.mState.withNextMove(mStep.mNowNanos + MOVE_INTERVAL_NANOS / parts);
    }

    private void startMove(
            GroupRecord record, LeaseState lease, RegisteredHost target, String reason) {
        Leaseholder holder = lease.holder().orElseThrow();
        mStep.mState = mStep.mState.withLease(lease.withTarget(target.id()));
        mStep.requestUpdate(holder.host());
        log(record, "moves from " + holder.host() + " to " + target.id() + ": " + reason);
    }

    private Optional<RegisteredHost> choose(GroupRecord record) {
        Optional<DataCentreId> primaryDataCentre =
                record.primary()
                        .map(e -> mStep.mState.control().endpoints().get(e))
                        .map(EndpointRecord::dataCentre);
        return mStep.mPlacement.choose(
                record.id(),
                primaryDataCentre,
                mStep.eligible().stream().map(h -> candidate(h, isHolder(h, record))).toList());
    }

    private static boolean isHolder(RegisteredHost host, GroupRecord record) {
        return record.leaseholder()
                .filter(l -> l.host().equals(host.id()) && l.incarnation() == host.incarnation())
                .isPresent();
    }

    private PlacementPolicy.Candidate candidate(RegisteredHost host, boolean holder) {
        int leaseCount = mStep.leaseCount(host.id()) - (holder ? 1 : 0);
        boolean warmedUp = holder || isWarmedUp(host);
        return new PlacementPolicy.Candidate(host, leaseCount, warmedUp, holder);
    }

    private void log(GroupRecord record, String text) {
        mStep.log("entryhosts: lease of group " + record.id() + ": " + text + ".");
    }
}
