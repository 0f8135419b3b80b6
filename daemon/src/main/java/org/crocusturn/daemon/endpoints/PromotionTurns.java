package org.crocusturn.daemon.endpoints;

import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;
import org.crocusturn.core.GroupId;
import org.crocusturn.core.endpoints.PromotionFencing;
import org.crocusturn.core.platform.DutyTurn;
import org.crocusturn.core.ring.SteadyClock;

/**
 * Keeps hosts from ordering the promotions of a group by turns.
 *
 * <p>Remembers the last order of this process in each group, also while the host does not hold the
 * lease of the group. An order that {@link DutyTurn} does not permit yet is not sent.
 *
 * <p>Thread-safe: orders come from the thread of the groups, their ends from I/O threads.
 */
public final class PromotionTurns implements PromotionService {
    private final PromotionService mService;
    private final Duration mInterval;
    private final LongSupplier mClock;
    private final Map<GroupId, DutyTurn> mTurns = new ConcurrentHashMap<>();

    private PromotionTurns(PromotionService service, Duration interval, LongSupplier clock) {
        mService = service;
        mInterval = interval;
        mClock = clock;
    }

    /**
     * Creates a service.
     *
     * @param service sends the orders
     * @param interval time in which two hosts must not order promotions of a group by turns
     */
    public static PromotionTurns create(PromotionService service, Duration interval) {
        return create(service, interval, SteadyClock::nanoTime);
    }

    static PromotionTurns create(PromotionService service, Duration interval, LongSupplier clock) {
        return new PromotionTurns(
                Objects.requireNonNull(service, "service"),
                Objects.requireNonNull(interval, "interval"),
                Objects.requireNonNull(clock, "clock"));
    }

    @Override
    public boolean isPermitted(GroupId group, long fence) {
        long nowNanos = mClock.getAsLong();
        DutyTurn turn = turn(group);
        return isSuccessor(turn, fence) || turn.permits(fence, nowNanos, nowNanos);
    }

    /**
     * Returns whether no other host has held the lease since the last order. Epochs increase by one
     * with each assignment, and a lease that was returned for a new epoch often comes straight
     * back.
     */
    private static boolean isSuccessor(DutyTurn turn, long fence) {
        return turn.lastCall().filter(call -> call.fence() + 1 == fence).isPresent();
    }

    @Override
    public CompletableFuture<Answer> promote(PromotionOrder order) {
        GroupId group = order.group();
        long fence = order.fence();
        if (!isPermitted(group, fence)) {
            return CompletableFuture.completedFuture(Answer.LATER);
        }
        long nowNanos = mClock.getAsLong();
        mTurns.compute(
                group,
                (id, turn) ->
                        Optional.ofNullable(turn)
                                .orElseGet(this::unused)
                                .withCall(fence, nowNanos));
        return mService.promote(order)
                .whenComplete(
                        (answer, failure) ->
                                mTurns.computeIfPresent(
                                        group,
                                        (id, turn) -> turn.withEnd(fence, mClock.getAsLong())));
    }

    @Override
    public PromotionFencing fencing() {
        return mService.fencing();
    }

    private DutyTurn turn(GroupId group) {
        return mTurns.getOrDefault(group, unused());
    }

    /** Late orders of an earlier leaseholder are up to {@link PromotionFencing}. */
    private DutyTurn unused() {
        return DutyTurn.of(mInterval, Duration.ZERO);
    }
}
