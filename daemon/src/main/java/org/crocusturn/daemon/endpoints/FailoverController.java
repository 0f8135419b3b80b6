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
import org.crocusturn.core.endpoints.PromotionFencing;
import org.crocusturn.core.endpoints.PromotionPlan;
import org.crocusturn.core.endpoints.ReplicationStatus;
import org.crocusturn.core.endpoints.SessionCommand;
import org.crocusturn.core.endpoints.SessionResult;

/**
 * Tracks the primary of a group and performs its failover and planned switchover.
 *
 * <p>A promotion request that the platform has not answered may still be carried out later. What
 * happens to other copies until then is up to {@link PromotionFencing}.
 *
 * <p>Not thread-safe: used only by the thread of the group.
 */
final class FailoverController {
    /** Time after which discovery proceeds without the copies that have not reported a role. */
    private static final long DISCOVERY_TIMEOUT_NANOS = Duration.ofMillis(1_000).toNanos();

    /** Interval between attempts to reach a copy that is down. */
    private static final long RETRY_INTERVAL_NANOS = Duration.ofMillis(300).toNanos();

    /** Time that replicas get to report their positions before the best known one is promoted. */
    private static final long FENCING_TIMEOUT_NANOS = Duration.ofMillis(250).toNanos();

    /** Interval between status requests that check for the effect of a promotion. */
    private static final long CONFIRM_INTERVAL_NANOS = Duration.ofMillis(50).toNanos();

    /** Time limit of a promotion, which takes about 600 ms, and of preparing a switchover. */
    private static final long PROMOTION_TIMEOUT_NANOS = Duration.ofSeconds(4).toNanos();

    /** Time that writers get to finish before a planned switchover. */
    private static final long QUIESCE_TIMEOUT_NANOS = Duration.ofMillis(400).toNanos();

    /** Minimum interval between attempts of a planned switchover. */
    private static final long SWITCHOVER_INTERVAL_NANOS = Duration.ofSeconds(2).toNanos();

    private final LeasedGroup mGroup;
    private final GroupContext mContext;
    private final Map<EndpointId, ReplicationProbe> mProbes = new HashMap<>();
    private final Map<EndpointId, Long> mNextProbeNanos = new HashMap<>();
    private final Map<EndpointId, LogPosition> mFencedPositions = new HashMap<>();
    private Phase mPhase = Phase.DISCOVERING;
    private long mPhaseStartNanos;
    private long mNextAttemptNanos;
    private long mNextSwitchoverNanos;
    private Optional<EndpointId> mPrimary = Optional.empty();
    private Optional<EndpointId> mTarget = Optional.empty();
    private final EpochPromotions mPromotions;
    private final KnownCopies mKnownCopies;
    private boolean mReplacingPrimary;
    private boolean mWaitLogged;
    private long mTerm;

    /** State of the primary and of its replacement. */
    private enum Phase {
        DISCOVERING,
        SERVING,
        QUIESCING,
        FENCING,
        CONFIRMING,
        GIVEN_BACK
    }

    FailoverController(LeasedGroup group, GroupContext context) {
        mGroup = group;
        mContext = context;
        mKnownCopies = new KnownCopies(group);
        mPhaseStartNanos = context.nowNanos();
        mPromotions = new EpochPromotions(group, context);
    }

    /** Returns the primary if it accepts writes now. */
    Optional<CopyPool> writablePrimary() {
        return mPhase == Phase.SERVING && mPromotions.permitsWrites()
                ? mPrimary.flatMap(mGroup::pool).filter(mGroup::isServing)
                : Optional.empty();
    }

    boolean isPrimary(CopyPool pool) {
        return mPhase != Phase.DISCOVERING
                && mPrimary.filter(pool.record().id()::equals).isPresent();
    }

    /**
     * Returns whether a commit that a copy reports now may be acknowledged. After another copy was
     * ordered to take over, its log need not have the commit.
     */
    boolean mayAcknowledge(CopyPool pool) {
        return mPrimary.filter(pool.record().id()::equals).isPresent()
                && !mReplacingPrimary
                && mPromotions.permitsWrites();
    }

    /** Requests the roles of all copies again because the known primary may be wrong. */
    void rediscover(String reason) {
        if (mPhase == Phase.SERVING) {
            logEvent("looks for its primary: " + reason);
            restartDiscovery();
        }
    }

    private void restartDiscovery() {
        mGroup.pools().forEach(pool -> pool.setStatus(Optional.empty()));
        enterPhase(Phase.DISCOVERING);
    }

    /** Requests the status of a copy unless a request is outstanding. */
    void requestStatus(CopyPool pool) {
        ReplicationProbe probe = probe(pool);
        if (mGroup.pool(pool.record().id()).isPresent()
                && mGroup.leaseValid()
                && !probe.isPending()) {
            probe.send(new SessionCommand.GetStatus(), result -> onStatus(pool, result));
        }
    }

    void onCopyRemoved(CopyPool pool) {
        mProbes.remove(pool.record().id());
        mNextProbeNanos.remove(pool.record().id());
        mFencedPositions.remove(pool.record().id());
        mKnownCopies.onCopyRemoved(
                pool.record().id(), mPrimary.filter(pool.record().id()::equals).isPresent());
    }

    /**
     * Returns the version of the state with whose endpoints all acknowledged commits are in the
     * logs of the primary and of a replica; 0 if that is not known.
     */
    long coveredVersion() {
        boolean covered =
                mPhase == Phase.SERVING
                        && mKnownCopies.isCoverageComplete()
                        && mPrimary.flatMap(mGroup::pool).isPresent();
        return covered ? mGroup.settings().copies().version() : 0;
    }

    private ReplicationProbe probe(CopyPool pool) {
        return mProbes.computeIfAbsent(
                pool.record().id(), id -> new ReplicationProbe(pool, mContext, this::onProbeLost));
    }

    private void onProbeLost(CopyPool pool, ConnectionLoss loss) {
        boolean current = mGroup.pool(pool.record().id()).filter(p -> p == pool).isPresent();
        if (!current || mGroup.isReleased()) {
            return;
        }
        long nowNanos = mContext.nowNanos();
        if (loss == ConnectionLoss.CLOSED) {
            // The endpoint may have closed only this connection; the next attempt shows its state.
            mNextProbeNanos.put(pool.record().id(), nowNanos);
            return;
        }
        mNextProbeNanos.put(pool.record().id(), nowNanos + RETRY_INTERVAL_NANOS);
        if (loss != ConnectionLoss.LIMIT && pool.health() != CopyPool.Health.DOWN) {
            mContext.logEvent("endpoint " + pool.record().id() + " is down: " + loss);
            pool.setHealth(CopyPool.Health.DOWN);
        }
    }

    private void onStatus(CopyPool pool, SessionResult result) {
        if (result.status().isEmpty()) {
            mNextProbeNanos.put(pool.record().id(), mContext.nowNanos() + CONFIRM_INTERVAL_NANOS);
            return;
        }
        ReplicationStatus status = result.status().get();
        mNextProbeNanos.remove(pool.record().id());
        if (pool.health() != CopyPool.Health.UP) {
            mContext.logEvent("endpoint " + pool.record().id() + " is up: " + status);
            pool.setHealth(CopyPool.Health.UP);
        }
        pool.setStatus(result.status());
        boolean newer = status.primary() && status.term() > mTerm;
        // It may have another id: a database that returns with its log may get a new one.
        boolean returned = mPhase == Phase.FENCING && status.primary() && status.term() >= mTerm;
        if ((newer && mPhase != Phase.DISCOVERING || returned) && mGroup.leaseValid()) {
            considerPrimary(pool, status);
        } else if (mPhase == Phase.SERVING && isOutdatedPrimary(pool)) {
            demote(pool);
        }
        mGroup.dispatch();
    }

    /** Requests the statuses that are due and advances the current phase. */
    void tick(long nowNanos) {
        if (mGroup.isReleased()) {
            return;
        }
        List.copyOf(mProbes.values()).forEach(probe -> probe.tick(nowNanos));
        replicas().stream()
                .filter(p -> p.status().filter(s -> !s.primary()).isPresent())
                .forEach(p -> mKnownCopies.onReplicaAt(p.newestPosition()));
        // Another host may hold the lease by now and may have paused the replicas for a failover.
        if (!mGroup.leaseValid()) {
            return;
        }
        mGroup.pools().stream()
                .filter(pool -> isDue(pool, nowNanos))
                .toList()
                .forEach(this::requestStatus);
        switch (mPhase) {
            case DISCOVERING -> discover(nowNanos);
            case SERVING -> checkPrimary(nowNanos);
            case QUIESCING -> quiesce(nowNanos);
            case FENCING -> fence(nowNanos);
            case CONFIRMING -> confirmPromotion(nowNanos);
            default -> {}
        }
    }

    private boolean isDue(CopyPool pool, long nowNanos) {
        Long next = mNextProbeNanos.get(pool.record().id());
        return next != null
                ? next - nowNanos <= 0
                : pool.health() == CopyPool.Health.UNKNOWN || pool.status().isEmpty();
    }

    private void enterPhase(Phase phase) {
        mPhase = phase;
        mPhaseStartNanos = mContext.nowNanos();
        mNextAttemptNanos = mPhaseStartNanos;
    }

    private void discover(long nowNanos) {
        boolean allKnown =
                !mGroup.pools().isEmpty()
                        && mGroup.pools().stream()
                                .allMatch(
                                        p ->
                                                p.status().isPresent()
                                                        || p.health() == CopyPool.Health.DOWN);
        boolean late = nowNanos - mPhaseStartNanos >= DISCOVERY_TIMEOUT_NANOS;
        if (!allKnown && !late) {
            return;
        }
        Optional<CopyPool> primary =
                mGroup.pools().stream()
                        .filter(p -> p.health() == CopyPool.Health.UP)
                        .filter(p -> p.status().filter(ReplicationStatus::primary).isPresent())
                        .max(Comparator.comparingLong(p -> p.status().orElseThrow().term()));
        // A copy that knows a later term has followed a primary that does not answer now.
        boolean current =
                primary.filter(p -> p.status().orElseThrow().term() >= newestTerm()).isPresent();
        if (current) {
            considerPrimary(primary.get(), primary.get().status().orElseThrow());
        } else if (mGroup.pools().stream().anyMatch(p -> p.status().isPresent())
                && (late || primary.isEmpty())) {
            if (mKnownCopies.allowPromotion()) {
                startFencing("no copy reports the primary role in the newest term");
            } else if (late) {
                waitForCopies();
            }
        }
    }

    /** Asks all copies again: one may have become the primary, or others may answer by now. */
    private void waitForCopies() {
        if (!mWaitLogged) {
            mWaitLogged = true;
            logEvent("waits for its primary: " + mKnownCopies);
        }
        restartDiscovery();
    }

    private long newestTerm() {
        return mGroup.pools().stream()
                .flatMap(p -> p.status().stream())
                .mapToLong(ReplicationStatus::term)
                .max()
                .orElse(0);
    }

    /** Serves with a primary unless an order may still be carried out that names another copy. */
    private void considerPrimary(CopyPool pool, ReplicationStatus status) {
        EndpointId id = pool.record().id();
        switch (mPromotions.decide(id)) {
            case PROCEED -> acceptPrimary(pool, status);
            case RETURN_LEASE -> returnLease(describeUnanswered());
            default -> repeatOrder();
        }
    }

    private String describeUnanswered() {
        return "the promotion of " + mPromotions.openTarget().orElseThrow() + " is unanswered";
    }

    /** Orders the copy again that an unanswered order may promote at any time. */
    private void repeatOrder() {
        mPromotions
                .openTarget()
                .flatMap(mGroup::pool)
                .filter(p -> p.health() == CopyPool.Health.UP && p.status().isPresent())
                .ifPresent(p -> promote(p.record().id()));
    }

    private void acceptPrimary(CopyPool pool, ReplicationStatus status) {
        long nowNanos = mContext.nowNanos();
        mReplacingPrimary = false;
        mWaitLogged = false;
        boolean changed = mPrimary.filter(pool.record().id()::equals).isEmpty();
        if (changed) {
            mKnownCopies.onPrimaryAccepted(status.received());
        }
        mPrimary = Optional.of(pool.record().id());
        mTerm = Math.max(mTerm, status.term());
        mTarget = Optional.empty();
        mGroup.setHistory(
                mGroup.history()
                        .map(h -> h.with(status.received(), nowNanos))
                        .orElseGet(() -> PositionHistory.startingAt(status.received(), nowNanos)));
        String primary = pool.record().id() + " in term " + status.term();
        logEvent(
                "epoch " + mGroup.epoch() + " has primary " + primary + " at " + status.received());
        enterPhase(Phase.SERVING);
        registerFence();
        resumeReplicas();
        mGroup.dispatch();
    }

    /** Orders the present primary until the platform refuses the numbers of earlier epochs. */
    private void registerFence() {
        if (mPromotions.isRegistrationDue()) {
            mPromotions.order(mPrimary.orElseThrow());
        }
    }

    /** Resumes replicas that an earlier leaseholder may have paused before it lost its lease. */
    private void resumeReplicas() {
        mGroup.pools().stream()
                .filter(p -> p.health() == CopyPool.Health.UP && !isPrimary(p))
                .forEach(
                        p ->
                                probe(p).send(
                                                new SessionCommand.ResumeReplication(),
                                                result ->
                                                        logRefusal(
                                                                p, "resume replication", result)));
        mFencedPositions.clear();
        mGroup.pools().stream().filter(this::isOutdatedPrimary).forEach(this::demote);
    }

    private boolean isOutdatedPrimary(CopyPool pool) {
        return pool.health() == CopyPool.Health.UP
                && !isPrimary(pool)
                && pool.status().filter(s -> s.primary() && s.term() < mTerm).isPresent();
    }

    /** Makes a copy a replica that was cut off while another one was promoted. */
    private void demote(CopyPool pool) {
        long term = pool.status().orElseThrow().term();
        logEvent("demotes " + pool.record().id() + ", a primary of term " + term);
        probe(pool)
                .send(
                        new SessionCommand.StepDown(mTerm),
                        result -> {
                            logRefusal(pool, "step down", result);
                            result.status().ifPresent(s -> pool.setStatus(result.status()));
                        });
    }

    private void logEvent(String text) {
        mContext.logEvent("group " + mGroup.id() + " " + text);
    }

    private void logRefusal(CopyPool pool, String request, SessionResult result) {
        if (result.status().isEmpty()) {
            mContext.logEvent(pool.record().id() + " did not " + request + ": " + result.text());
        }
    }

    private void checkPrimary(long nowNanos) {
        Optional<CopyPool> primary = mPrimary.flatMap(mGroup::pool);
        boolean down =
                primary.isEmpty()
                        || primary.filter(p -> p.health() == CopyPool.Health.DOWN).isPresent();
        if (down) {
            startFencing("the primary is down");
            return;
        }
        if (mKnownCopies.isAnyCommitExposed() && nowNanos - mNextAttemptNanos >= 0) {
            mNextAttemptNanos = nowNanos + RETRY_INTERVAL_NANOS;
            replicas().stream()
                    .filter(p -> p.health() == CopyPool.Health.UP)
                    .forEach(this::requestStatus);
        }
        registerFence();
        // An order for another copy would conflict with an unanswered one for the primary.
        boolean mustMove = !mGroup.isServing(primary.get()) && mPromotions.permitsWrites();
        if (mustMove
                && nowNanos - mNextSwitchoverNanos >= 0
                && successor().isPresent()
                && mPromotions.mayOrder()) {
            mNextSwitchoverNanos = nowNanos + SWITCHOVER_INTERVAL_NANOS;
            mTarget = successor();
            logEvent("moves its primary to " + mTarget.get());
            enterPhase(Phase.QUIESCING);
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

    private void quiesce(long nowNanos) {
        if (mGroup.isWriting()) {
            if (nowNanos - mPhaseStartNanos >= QUIESCE_TIMEOUT_NANOS) {
                mGroup.abandonIdleWriters();
            }
            return;
        }
        Optional<CopyPool> target = mTarget.flatMap(mGroup::pool).filter(mGroup::isServing);
        if (target.isEmpty() || nowNanos - mPhaseStartNanos >= PROMOTION_TIMEOUT_NANOS) {
            enterPhase(Phase.SERVING);
            return;
        }
        LogPosition latest = mGroup.history().orElseThrow().latest();
        boolean complete =
                target.get().status().filter(s -> s.received().compareTo(latest) >= 0).isPresent();
        if (complete) {
            promote(mTarget.get());
        } else if (nowNanos - mNextAttemptNanos >= 0) {
            mNextAttemptNanos = nowNanos + CONFIRM_INTERVAL_NANOS;
            requestStatus(target.get());
        }
    }

    private void startFencing(String reason) {
        logEvent("needs another primary: " + reason);
        mTerm = Math.max(mTerm, newestTerm());
        mFencedPositions.clear();
        enterPhase(Phase.FENCING);
        fence(mPhaseStartNanos);
    }

    private void fence(long nowNanos) {
        if (nowNanos - mNextAttemptNanos >= 0) {
            mNextAttemptNanos = nowNanos + RETRY_INTERVAL_NANOS;
            replicas().stream()
                    .filter(p -> p.health() != CopyPool.Health.DOWN)
                    .filter(p -> !mFencedPositions.containsKey(p.record().id()))
                    .forEach(this::pauseReplication);
        }
        boolean allPaused =
                replicas().stream()
                        .filter(p -> p.health() != CopyPool.Health.DOWN)
                        .allMatch(p -> mFencedPositions.containsKey(p.record().id()));
        if (allPaused || nowNanos - mPhaseStartNanos >= FENCING_TIMEOUT_NANOS) {
            PromotionPlan.choose(
                            mGroup.pools().stream().map(this::candidate).toList(),
                            mKnownCopies.missing(),
                            mGroup.history().map(PositionHistory::latest),
                            mKnownCopies.coverage())
                    .map(this::unansweredTargetOr)
                    .ifPresent(this::promote);
        }
        if (mPhase == Phase.FENCING && nowNanos - mPhaseStartNanos >= PROMOTION_TIMEOUT_NANOS) {
            logEvent(
                    "has no copy that is safe to promote: acknowledged up to "
                            + mGroup.history().map(PositionHistory::latest)
                            + ", received "
                            + mFencedPositions);
            restartDiscovery();
        }
    }

    /** Prefers the target of an unanswered order to a copy whose log is not longer. */
    private EndpointId unansweredTargetOr(EndpointId best) {
        return mPromotions
                .openTarget()
                .filter(mFencedPositions::containsKey)
                .filter(id -> mGroup.pool(id).filter(mGroup::isServing).isPresent())
                .filter(id -> mFencedPositions.get(id).compareTo(mFencedPositions.get(best)) >= 0)
                .orElse(best);
    }

    private List<CopyPool> replicas() {
        return mGroup.pools().stream()
                .filter(p -> mPrimary.filter(p.record().id()::equals).isEmpty())
                .toList();
    }

    private void pauseReplication(CopyPool pool) {
        EndpointId id = pool.record().id();
        long startNanos = mPhaseStartNanos;
        probe(pool)
                .send(
                        new SessionCommand.PauseReplication(mTerm + 1),
                        result -> result.status().ifPresent(s -> onPaused(id, s, startNanos)));
    }

    /**
     * Handles the answer of a paused copy. It is void if a primary was accepted since it was asked,
     * because the copy was resumed then.
     */
    void onPaused(EndpointId endpoint, ReplicationStatus status, long startNanos) {
        if (mPhase == Phase.FENCING && mPhaseStartNanos == startNanos) {
            mFencedPositions.put(endpoint, status.received());
            fence(mContext.nowNanos());
        }
    }

    private PromotionPlan.Candidate candidate(CopyPool pool) {
        return new PromotionPlan.Candidate(
                pool.record().id(),
                Optional.ofNullable(mFencedPositions.get(pool.record().id())),
                pool.record().leaving(),
                mGroup.settings().drained().contains(pool.record().dataCentre()));
    }

    private void promote(EndpointId target) {
        if (mPhase == Phase.CONFIRMING || mPhase == Phase.GIVEN_BACK) {
            return;
        }
        PromotionFencing.Step step = mPromotions.decide(target);
        if (step == PromotionFencing.Step.RETURN_LEASE) {
            returnLease(describeUnanswered());
        } else if (step == PromotionFencing.Step.PROCEED && mPromotions.mayOrder()) {
            mTarget = Optional.of(target);
            mReplacingPrimary |= mPrimary.filter(target::equals).isEmpty();
            enterPhase(Phase.CONFIRMING);
            mPromotions.order(target);
        }
    }

    /** Handles the answer of the platform to a promotion request. */
    void onPromotionAnswer(EndpointId target, PromotionService.Answer answer) {
        mPromotions.recordAnswer(target, answer);
        if (answer == PromotionService.Answer.REFUSED) {
            onPromotionRefused();
        }
    }

    private void onPromotionRefused() {
        if (mContext.fencing().registersEpoch()) {
            returnLease("the platform refused the fencing number");
        } else if (mPhase == Phase.CONFIRMING) {
            logEvent("cannot promote: the ordered endpoint is not running");
            restartDiscovery();
        }
    }

    private void confirmPromotion(long nowNanos) {
        if (nowNanos - mPhaseStartNanos >= PROMOTION_TIMEOUT_NANOS) {
            logEvent("gives up a promotion: it timed out");
            restartDiscovery();
            return;
        }
        if (nowNanos - mNextAttemptNanos >= 0) {
            mNextAttemptNanos = nowNanos + CONFIRM_INTERVAL_NANOS;
            mTarget.flatMap(mGroup::pool).ifPresent(this::requestStatus);
        }
    }

    private void returnLease(String reason) {
        logEvent("gives epoch " + mGroup.epoch() + " back: " + reason);
        enterPhase(Phase.GIVEN_BACK);
        mContext.returnLease(mGroup.id());
    }
}
