package org.crocusturn.daemon.endpoints;

import java.time.Duration;
import java.util.Optional;
import java.util.function.BiPredicate;
import java.util.function.Predicate;
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.callers.TransactionStep;
import org.crocusturn.core.endpoints.WaitEstimate;
import org.crocusturn.core.entryhosts.SessionCall;

/**
 * Estimates the waiting times of a group's calls from the times of earlier ones.
 *
 * <p>Not thread-safe: used only by the thread of the group.
 */
final class ServiceTimes {
    /** Values between 0 and 1 by which the calls of sessions are spread over time. */
    private static final int SPREAD_STEPS = 64;

    private final LeasedGroup mGroup;
    private WaitEstimate mEstimate = WaitEstimate.unknown();

    ServiceTimes(LeasedGroup group) {
        mGroup = group;
    }

    private static WaitEstimate.Kind kind(SessionCall call) {
        return new WaitEstimate.Kind(call.options().priority(), call.needsPrimary());
    }

    /** Records how long a run has occupied its slot. */
    void record(StatementRun run, long nowNanos) {
        run.handshakeNanos().ifPresent(n -> mEstimate = mEstimate.withHandshake(n));
        if (run.isSent() && run.call().step() != TransactionStep.CONTINUE) {
            mEstimate = mEstimate.withService(kind(run.call()), run.serviceNanos(nowNanos));
        }
    }

    /** Records a call that begins an operation. */
    void recordArrival(SessionCall call, long nowNanos) {
        mEstimate = mEstimate.withArrival(kind(call), nowNanos);
    }

    /** Returns whether a new call would wait for longer than it may. */
    boolean waitsTooLong(
            StatementRun run,
            StatementQueues queues,
            Predicate<WorkspaceId> eligible,
            long nowNanos) {
        return waitsTooLong(
                run,
                queues.ahead(run.call(), eligible, mEstimate),
                slots(),
                isConnected(run.call()),
                nowNanos);
    }

    private boolean waitsTooLong(
            StatementRun run,
            WaitEstimate.Backlog ahead,
            WaitEstimate.Slots slots,
            boolean connected,
            long nowNanos) {
        // Without slots, as during a failover, the wait does not depend on the calls ahead.
        return mEstimate
                .waitTime(kind(run.call()), ahead, slots, connected, nowNanos)
                .filter(wait -> nowNanos + wait.toNanos() - run.waitUntilNanos() > 0)
                .isPresent();
    }

    /** Returns a test of whether a waiting call is late after the work ahead of it. */
    BiPredicate<StatementRun, WaitEstimate.Backlog> lateness(long nowNanos) {
        WaitEstimate.Slots slots = slots();
        return (run, ahead) -> waitsTooLong(run, ahead, slots, true, nowNanos);
    }

    /** Returns the work of a call. */
    WaitEstimate.Backlog work(StatementRun run) {
        return mEstimate.work(kind(run.call()), 1);
    }

    private boolean isConnected(SessionCall call) {
        return call.needsPrimary()
                ? mGroup.failover()
                        .writablePrimary()
                        .filter(p -> p.isConnected(call.workspace()))
                        .isPresent()
                : mGroup.pools().stream().anyMatch(p -> p.isConnected(call.workspace()));
    }

    /** Returns when a refused call should be sent again. */
    Duration retryAfter(SessionCall call, StatementQueues queues, Predicate<WorkspaceId> eligible) {
        double spread =
                (double) Math.floorMod(Long.hashCode(call.session()), SPREAD_STEPS) / SPREAD_STEPS;
        Duration gone =
                mEstimate.retryAfter(
                        kind(call), queues.backlog(eligible, mEstimate), slots(), spread);
        return gone.compareTo(StatementFailures.RETRY_AFTER) > 0
                ? gone
                : StatementFailures.RETRY_AFTER;
    }

    private WaitEstimate.Slots slots() {
        Optional<CopyPool> primary = mGroup.failover().writablePrimary();
        int others =
                mGroup.pools().stream()
                        .filter(p -> mGroup.isServing(p) && primary.filter(q -> q == p).isEmpty())
                        .mapToInt(CopyPool::slots)
                        .sum();
        return new WaitEstimate.Slots(primary.map(CopyPool::slots).orElse(0), others);
    }

    /**
     * Returns whether a call that runs now would end after its time limit. A call that has waited
     * for less than it may is never too late, so that the observations go on.
     */
    boolean isTooLate(StatementRun run, long nowNanos) {
        double mayWait = (run.deadlineNanos() - run.arrivedNanos()) / 2.0;
        double remaining = run.deadlineNanos() - nowNanos;
        return mayWait > remaining && mEstimate.serviceNanos(kind(run.call())) > remaining;
    }

    /** Returns whether a slot of a copy is expected later than a connection could be opened. */
    boolean isWaitLong(SessionCall call, int slots) {
        return mEstimate.serviceNanos(kind(call)) / slots > mEstimate.handshakeNanos();
    }
}
