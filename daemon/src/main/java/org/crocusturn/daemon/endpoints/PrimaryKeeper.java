package org.crocusturn.daemon.endpoints;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.LogPosition;
import org.crocusturn.core.endpoints.ConnectionLoss;
import org.crocusturn.core.endpoints.PositionHistory;
import org.crocusturn.core.endpoints.PromotionPlan;
import org.crocusturn.core.endpoints.ReplicationStatus;
import org.crocusturn.core.endpoints.SessionCommand;
import org.crocusturn.core.endpoints.SessionResult;

/**
 * Tracks the primary of a group and performs its failover and planned switchover.
 *
 * <p>A promotion request that the platform has not answered may still be carried out later. Until
 * it is answered, no other copy is promoted with the same fencing number: the lease is given back
 * in exchange for a new epoch, which makes the platform refuse the late request.
 *
 * <p>Not thread-safe: used only by the thread of the group.
 */
final class PrimaryKeeper {
    /** Time after which discovery proceeds without the copies that have not reported a role. */
    private static final long DISCOVERY_NANOS = Duration.ofMillis(1_000).toNanos();

    /** Interval between attempts to reach a copy that is down. */
    private static final long RETRY_NANOS = Duration.ofMillis(300).toNanos();

    /** Time that replicas get to report their positions before the best known one is promoted. */
    private static final long FENCING_NANOS = Duration.ofMillis(250).toNanos();

    /** Interval between status requests that check for the effect of a promotion. */
    private static final long CONFIRM_NANOS = Duration.ofMillis(50).toNanos();

    /** Time after which a promotion counts as failed; it usually takes about 600 ms. */
    private static final long ORDER_NANOS = Duration.ofSeconds(4).toNanos();

    /** Time that writers get to finish before a planned switchover. */
    private static final long QUIESCE_NANOS = Duration.ofMillis(400).toNanos();

    /** Minimum interval between attempts of a planned switchover. */
    private static final long PLANNED_PAUSE_NANOS = Duration.ofSeconds(2).toNanos();

    private final HeldGroup mGroup;
    private final GroupPorts mPorts;
    private final Map<EndpointId, ControlProbe> mProbes = new HashMap<>();
    private final Map<EndpointId, Long> mNextProbeNanos = new HashMap<>();
    private final Map<EndpointId, LogPosition> mFenced = new HashMap<>();
    private Phase mPhase = Phase.DISCOVERING;
    private long mSinceNanos;
    private long mNextNanos;
    private long mPlannedNanos;
    private Optional<EndpointId> mPrimary = Optional.empty();
    private Optional<EndpointId> mTarget = Optional.empty();
    private Optional<EndpointId> mUnanswered = Optional.empty();
    private long mTerm;
    private boolean mClaimed;

    /** State of the primary and of its replacement. */
    private enum Phase {
        DISCOVERING,
        SERVING,
        QUIESCING,
        FENCING,
        CONFIRMING,
        GIVEN_BACK
    }

    PrimaryKeeper(HeldGroup group, GroupPorts ports) {
        mGroup = group;
        mPorts = ports;
        mSinceNanos = ports.nowNanos();
    }

    /** Returns the primary if it accepts writes now. */
    Optional<CopyPool> writable() {
        return mPhase == Phase.SERVING
                ? mPrimary.flatMap(mGroup::pool).filter(mGroup::isServing)
                : Optional.empty();
    }

    boolean isPrimary(CopyPool pool) {
        return mPhase != Phase.DISCOVERING
                && mPrimary.filter(pool.record().id()::equals).isPresent();
    }

    /** Requests the roles of all copies again because the known primary may be wrong. */
    void rediscover(String reason) {
        if (mPhase == Phase.SERVING) {
            mPorts.note("group " + mGroup.id() + " looks for its primary: " + reason);
            discoverAgain();
        }
    }

    private void discoverAgain() {
        mGroup.pools().forEach(pool -> pool.setStatus(Optional.empty()));
        enter(Phase.DISCOVERING);
    }

    /** Requests the status of a copy unless a request is outstanding. */
    void doubt(CopyPool pool) {
        ControlProbe probe = probe(pool);
        if (mGroup.pool(pool.record().id()).isPresent()
                && mGroup.leaseValid()
                && !probe.isAsking()) {
            probe.ask(new SessionCommand.AskStatus(), result -> told(pool, result));
        }
    }

    void removed(CopyPool pool) {
        mProbes.remove(pool.record().id());
        mNextProbeNanos.remove(pool.record().id());
        mFenced.remove(pool.record().id());
    }

    private ControlProbe probe(CopyPool pool) {
        return mProbes.computeIfAbsent(
                pool.record().id(), id -> new ControlProbe(pool, mPorts, this::down));
    }

    private void down(CopyPool pool, ConnectionLoss loss) {
        boolean current = mGroup.pool(pool.record().id()).filter(p -> p == pool).isPresent();
        if (!current || mGroup.isReleased()) {
            return;
        }
        long now = mPorts.nowNanos();
        if (loss == ConnectionLoss.CLOSED) {
            // The endpoint may have closed only this connection; the next attempt shows its state.
            mNextProbeNanos.put(pool.record().id(), now);
            return;
        }
        mNextProbeNanos.put(pool.record().id(), now + RETRY_NANOS);
        if (loss != ConnectionLoss.LIMIT && pool.health() != CopyPool.Health.DOWN) {
            mPorts.note("endpoint " + pool.record().id() + " is down: " + loss);
            pool.setHealth(CopyPool.Health.DOWN);
        }
    }

    private void told(CopyPool pool, SessionResult result) {
        if (result.status().isEmpty()) {
            mNextProbeNanos.put(pool.record().id(), mPorts.nowNanos() + CONFIRM_NANOS);
            return;
        }
        ReplicationStatus status = result.status().get();
        mNextProbeNanos.remove(pool.record().id());
        if (pool.health() != CopyPool.Health.UP) {
            mPorts.note("endpoint " + pool.record().id() + " is up: " + status);
            pool.setHealth(CopyPool.Health.UP);
            new WarmUp(mGroup, pool, mPorts).next();
        }
        pool.setStatus(result.status());
        boolean newer = status.primary() && status.term() > mTerm;
        if (newer && mPhase != Phase.DISCOVERING && mGroup.leaseValid()) {
            adopt(pool, status);
        }
        mGroup.dispatch();
    }

    /** Requests the statuses that are due and advances the current phase. */
    void tick(long now) {
        if (mGroup.isReleased()) {
            return;
        }
        List.copyOf(mProbes.values()).forEach(probe -> probe.tick(now));
        // Another host may hold the lease by now and may have paused the replicas for a failover.
        if (!mGroup.leaseValid()) {
            return;
        }
        mGroup.pools().stream().filter(pool -> isDue(pool, now)).toList().forEach(this::doubt);
        switch (mPhase) {
            case DISCOVERING -> discover(now);
            case SERVING -> watch(now);
            case QUIESCING -> quiesce(now);
            case FENCING -> fence(now);
            case CONFIRMING -> confirm(now);
            default -> {}
        }
    }

    private boolean isDue(CopyPool pool, long now) {
        Long next = mNextProbeNanos.get(pool.record().id());
        return next != null
                ? next - now <= 0
                : pool.health() == CopyPool.Health.UNKNOWN || pool.status().isEmpty();
    }

    private void enter(Phase phase) {
        mPhase = phase;
        mSinceNanos = mPorts.nowNanos();
        mNextNanos = mSinceNanos;
    }

    private void discover(long now) {
        boolean all =
                !mGroup.pools().isEmpty()
                        && mGroup.pools().stream()
                                .allMatch(
                                        p ->
                                                p.status().isPresent()
                                                        || p.health() == CopyPool.Health.DOWN);
        boolean late = now - mSinceNanos >= DISCOVERY_NANOS;
        if (!all && !late) {
            return;
        }
        Optional<CopyPool> primary =
                mGroup.pools().stream()
                        .filter(p -> p.health() == CopyPool.Health.UP)
                        .filter(p -> p.status().filter(ReplicationStatus::primary).isPresent())
                        .max(Comparator.comparingLong(p -> p.status().orElseThrow().term()));
        if (primary.isPresent()) {
            adopt(primary.get(), primary.get().status().orElseThrow());
        } else if (mGroup.pools().stream().anyMatch(p -> p.status().isPresent())) {
            startFencing("no copy reports the primary role");
        }
    }

    private void adopt(CopyPool pool, ReplicationStatus status) {
        long now = mPorts.nowNanos();
        mPrimary = Optional.of(pool.record().id());
        mTerm = Math.max(mTerm, status.term());
        mTarget = Optional.empty();
        mGroup.setHistory(
                mGroup.history()
                        .map(h -> h.with(status.received(), now))
                        .orElseGet(() -> PositionHistory.startingAt(status.received(), now)));
        mPorts.note(
                "group "
                        + mGroup.id()
                        + " epoch "
                        + mGroup.epoch()
                        + " has primary "
                        + pool.record().id()
                        + " in term "
                        + status.term()
                        + " at "
                        + status.received());
        enter(Phase.SERVING);
        claim();
        resumeReplicas();
        mGroup.dispatch();
    }

    /** Registers the fencing number of this epoch, so that the platform refuses older ones. */
    private void claim() {
        if (!mClaimed && mGroup.epoch() > 1 && mUnanswered.isEmpty()) {
            mClaimed = true;
            order(mPrimary.orElseThrow());
        }
    }

    /** Resumes replicas that an earlier leaseholder may have paused before it lost its lease. */
    private void resumeReplicas() {
        mGroup.pools().stream()
                .filter(p -> p.health() == CopyPool.Health.UP && !isPrimary(p))
                .forEach(
                        p ->
                                probe(p).ask(
                                                new SessionCommand.ResumeReplication(),
                                                result -> resumed(p, result)));
        mFenced.clear();
    }

    private void resumed(CopyPool pool, SessionResult result) {
        result.error()
                .ifPresent(
                        error ->
                                mPorts.note(
                                        "replication of "
                                                + pool.record().id()
                                                + " was not resumed: "
                                                + result.text()));
    }

    private void watch(long now) {
        Optional<CopyPool> primary = mPrimary.flatMap(mGroup::pool);
        boolean dead =
                primary.isEmpty()
                        || primary.filter(p -> p.health() == CopyPool.Health.DOWN).isPresent();
        if (dead) {
            startFencing("the primary is down");
            return;
        }
        boolean unwanted = !mGroup.isServing(primary.get());
        if (unwanted && now - mPlannedNanos >= 0 && successor().isPresent()) {
            mPlannedNanos = now + PLANNED_PAUSE_NANOS;
            mTarget = successor();
            mPorts.note("group " + mGroup.id() + " moves its primary to " + mTarget.get());
            enter(Phase.QUIESCING);
        }
    }

    private Optional<EndpointId> successor() {
        return mGroup.pools().stream()
                .filter(mGroup::isServing)
                .filter(p -> !isPrimary(p))
                .max(
                        Comparator.<CopyPool, LogPosition>comparing(CopyPool::newestPosition)
                                .thenComparing(p -> p.record().id()))
                .map(p -> p.record().id());
    }

    private void quiesce(long now) {
        if (mGroup.isWriting()) {
            if (now - mSinceNanos >= QUIESCE_NANOS) {
                mGroup.abandonIdleWriters();
            }
            return;
        }
        Optional<CopyPool> target = mTarget.flatMap(mGroup::pool).filter(mGroup::isServing);
        if (target.isEmpty() || now - mSinceNanos >= ORDER_NANOS) {
            enter(Phase.SERVING);
            return;
        }
        LogPosition latest = mGroup.history().orElseThrow().latest();
        boolean complete =
                target.get().status().filter(s -> s.received().compareTo(latest) >= 0).isPresent();
        if (complete) {
            promote(mTarget.get());
        } else if (now - mNextNanos >= 0) {
            mNextNanos = now + CONFIRM_NANOS;
            doubt(target.get());
        }
    }

    private void startFencing(String reason) {
        mPorts.note("group " + mGroup.id() + " needs another primary: " + reason);
        mTerm =
                Math.max(
                        mTerm,
                        mGroup.pools().stream()
                                .flatMap(p -> p.status().stream())
                                .mapToLong(ReplicationStatus::term)
                                .max()
                                .orElse(0));
        mFenced.clear();
        enter(Phase.FENCING);
        fence(mSinceNanos);
    }

    private void fence(long now) {
        if (now - mNextNanos >= 0) {
            mNextNanos = now + RETRY_NANOS;
            replicas().stream()
                    .filter(p -> p.health() != CopyPool.Health.DOWN)
                    .filter(p -> !mFenced.containsKey(p.record().id()))
                    .forEach(this::pause);
        }
        boolean told =
                replicas().stream()
                        .filter(p -> p.health() != CopyPool.Health.DOWN)
                        .allMatch(p -> mFenced.containsKey(p.record().id()));
        if (told || now - mSinceNanos >= FENCING_NANOS) {
            PromotionPlan.choose(
                            mGroup.pools().stream().map(this::candidate).toList(),
                            mGroup.history().map(PositionHistory::latest))
                    .ifPresent(this::promote);
        }
        if (mPhase == Phase.FENCING && now - mSinceNanos >= ORDER_NANOS) {
            discoverAgain();
        }
    }

    private List<CopyPool> replicas() {
        return mGroup.pools().stream()
                .filter(p -> mPrimary.filter(p.record().id()::equals).isEmpty())
                .toList();
    }

    private void pause(CopyPool pool) {
        probe(pool)
                .ask(
                        new SessionCommand.PauseReplication(mTerm + 1),
                        result ->
                                result.status()
                                        .ifPresent(
                                                s -> {
                                                    mFenced.put(pool.record().id(), s.received());
                                                    fence(mPorts.nowNanos());
                                                }));
    }

    private PromotionPlan.Candidate candidate(CopyPool pool) {
        return new PromotionPlan.Candidate(
                pool.record().id(),
                Optional.ofNullable(mFenced.get(pool.record().id())),
                pool.record().leaving(),
                mGroup.settings().drained().contains(pool.record().dataCentre()));
    }

    private void promote(EndpointId target) {
        if (mPhase == Phase.CONFIRMING || mPhase == Phase.GIVEN_BACK) {
            return;
        }
        if (mUnanswered.filter(id -> !id.equals(target)).isPresent()) {
            giveBack("the promotion of " + mUnanswered.get() + " is unanswered");
            return;
        }
        mTarget = Optional.of(target);
        enter(Phase.CONFIRMING);
        order(target);
    }

    private void order(EndpointId target) {
        if (!mGroup.leaseValid()) {
            return;
        }
        mUnanswered = Optional.of(target);
        mPorts.note(
                "group "
                        + mGroup.id()
                        + " orders "
                        + target
                        + " with fencing number "
                        + mGroup.epoch());
        mPorts.promote(mGroup.id(), target, mGroup.epoch());
    }

    /** Handles the answer of the platform to a promotion request. */
    void ordered(EndpointId target, PromotionService.Answer answer) {
        mPorts.note("group " + mGroup.id() + " ordered " + target + ": " + answer);
        if (answer == PromotionService.Answer.ACCEPTED) {
            mUnanswered = Optional.empty();
        } else if (answer == PromotionService.Answer.REFUSED) {
            giveBack("the platform refused the fencing number");
        } else if (answer == PromotionService.Answer.LATER) {
            mUnanswered = Optional.empty();
            mClaimed = false;
        }
    }

    private void confirm(long now) {
        if (now - mSinceNanos >= ORDER_NANOS) {
            mPorts.note("group " + mGroup.id() + ": the promotion timed out");
            discoverAgain();
            return;
        }
        if (now - mNextNanos >= 0) {
            mNextNanos = now + CONFIRM_NANOS;
            mTarget.flatMap(mGroup::pool).ifPresent(this::doubt);
        }
    }

    private void giveBack(String reason) {
        mPorts.note("group " + mGroup.id() + " gives epoch " + mGroup.epoch() + " back: " + reason);
        enter(Phase.GIVEN_BACK);
        mPorts.giveBack(mGroup.id());
    }
}
