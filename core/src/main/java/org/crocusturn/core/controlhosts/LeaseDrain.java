package org.crocusturn.core.controlhosts;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.crocusturn.core.GroupId;

/**
 * The leases that a stopping host still has to wait for.
 *
 * <p>The control leader moves the leases of a stopping host to others. If all hosts stop together,
 * there is nobody to move them to; a host then waits only for the work of its groups. Immutable.
 *
 * @param moving whether the leader asked the host to release the lease, by group
 * @param busy groups with running requests or open transactions
 * @param stoppingSinceNanos time at which the host began to stop, if it has
 * @param lastMoveNanos time of the latest move of a lease to another host since then, if there was
 *     one
 */
public record LeaseDrain(
        Map<GroupId, Boolean> moving,
        Set<GroupId> busy,
        Optional<Long> stoppingSinceNanos,
        Optional<Long> lastMoveNanos) {
    /** Without leases, on a host that does not stop. */
    public static final LeaseDrain NONE =
            new LeaseDrain(Map.of(), Set.of(), Optional.empty(), Optional.empty());

    /** Time in which the leader learns that the host stops and chooses another one. */
    static final Duration DECISION_TIME = Duration.ofMillis(300);

    /**
     * Time in which other entry hosts learn of a new leaseholder; an idle one reports each 350 ms.
     * Until then they send calls to the stopping host, which refuses them as not run.
     */
    static final Duration MOVE_NOTICE_TIME = Duration.ofMillis(400);

    /** Copies the collections. */
    public LeaseDrain {
        moving = Map.copyOf(moving);
        busy = Set.copyOf(busy);
        Objects.requireNonNull(stoppingSinceNanos, "stoppingSinceNanos");
        Objects.requireNonNull(lastMoveNanos, "lastMoveNanos");
    }

    /** Returns a copy with the leases of a view. */
    public LeaseDrain withView(ControlView view, long nowNanos) {
        Map<GroupId, Boolean> next =
                view.leases().entrySet().stream()
                        .collect(
                                Collectors.toMap(
                                        Map.Entry::getKey, lease -> lease.getValue().move()));
        return withLeases(next, nowNanos);
    }

    LeaseDrain withLeases(Map<GroupId, Boolean> next, long nowNanos) {
        boolean moved =
                stoppingSinceNanos.isPresent() && !next.keySet().containsAll(moving.keySet());
        return new LeaseDrain(
                next, busy, stoppingSinceNanos, moved ? Optional.of(nowNanos) : lastMoveNanos);
    }

    /** Returns a copy with the work of the groups. */
    public LeaseDrain withWork(Collection<HeldLease> held) {
        List<GroupId> next =
                held.stream()
                        .filter(lease -> lease.busy() > 0 && !lease.released())
                        .map(HeldLease::group)
                        .toList();
        return new LeaseDrain(moving, Set.copyOf(next), stoppingSinceNanos, lastMoveNanos);
    }

    /** Returns a copy of a host that stops; later calls change nothing. */
    public LeaseDrain withStopping(long nowNanos) {
        return stoppingSinceNanos.isPresent()
                ? this
                : new LeaseDrain(moving, busy, Optional.of(nowNanos), lastMoveNanos);
    }

    /**
     * Returns the number of leases that the host has to wait for; moves that other hosts may not
     * know yet count as one.
     */
    public int remaining(long nowNanos) {
        boolean decided =
                stoppingSinceNanos
                        .filter(since -> nowNanos - since >= DECISION_TIME.toNanos())
                        .isPresent();
        boolean noticed =
                lastMoveNanos
                        .filter(moved -> nowNanos - moved < MOVE_NOTICE_TIME.toNanos())
                        .isEmpty();
        long held =
                moving.entrySet().stream()
                        .filter(
                                lease ->
                                        !decided
                                                || lease.getValue()
                                                || busy.contains(lease.getKey()))
                        .count();
        return (int) held + (noticed ? 0 : 1);
    }
}
