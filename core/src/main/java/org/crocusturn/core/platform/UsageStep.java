package org.crocusturn.core.platform;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.crocusturn.core.Decision;
import org.crocusturn.core.HostId;
import org.crocusturn.core.controlhosts.ClockEstimate;
import org.crocusturn.core.controlhosts.UsageReceipt;
import org.crocusturn.core.controlhosts.UsageReport;
import org.crocusturn.core.controlhosts.UsageTable;
import org.crocusturn.core.operators.ControlCommand;
import org.crocusturn.core.operators.ControlCommand.AssignUsageDuty;
import org.crocusturn.core.operators.ControlCommand.CloseUsageWindow;
import org.crocusturn.core.operators.ControlCommand.ConfirmUsageReport;
import org.crocusturn.core.operators.UsageLedger;
import org.crocusturn.core.operators.UsageWindow;

/** Collects the next state and the actions of one step of {@link UsageReporting}. */
final class UsageStep {
    /** Number of missing windows that are closed; earlier ones are skipped. */
    static final long MAX_MISSING_WINDOWS = 720;

    /** Time after which a proposal without an effect is repeated. */
    static final long PROPOSAL_RETRY_NANOS = Duration.ofSeconds(1).toNanos();

    /** Closed windows whose counts are kept, so that late ones are noticed. */
    private static final long KEPT_CLOSED_WINDOWS = UsageTable.MAX_WINDOWS / 2;

    /** Processes drop counts 15 s after the end of a window; the rest is for opening links. */
    private static final long RESENT_MILLIS = 13_000;

    /**
     * Correct clocks differ by tens of milliseconds; a window that ended before is not reported.
     */
    private static final long CLOCK_SPREAD_MILLIS = 100;

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final HostId mSelf;
    private final UsageSchedule mSchedule;
    private final boolean mHasPlatform;
    private final long mNowNanos;
    private final long mStartNanos;
    private final List<UsageAction> mActions = new ArrayList<>();
    private UsageLedger mLedger;
    private UsageTable mTable;
    private Optional<Long> mTerm;
    private ClockEstimate mClock;
    private DutyTurn mTurn;
    private UsageCalls mCalls;
    private long mOwnFence;
    private long mHeldSinceNanos;
    private Optional<UsageState.Proposal> mProposal;

    UsageStep(
            HostId self,
            UsageSchedule schedule,
            boolean hasPlatform,
            UsageState state,
            long nowNanos) {
        mSelf = self;
        mSchedule = schedule;
        mHasPlatform = hasPlatform;
        mNowNanos = nowNanos;
        mStartNanos = state.startNanos();
        mLedger = state.ledger();
        mTable = state.table();
        mTerm = state.term();
        mClock = state.clock();
        mTurn = state.turn();
        mCalls = state.calls();
        mOwnFence = state.ownFence();
        mHeldSinceNanos = state.heldSinceNanos();
        mProposal = state.proposal();
    }

    Decision<UsageState, UsageAction> decision() {
        return new Decision<>(
                new UsageState(
                        mStartNanos,
                        mLedger,
                        mTable,
                        mTerm,
                        mClock,
                        mTurn,
                        mCalls,
                        mOwnFence,
                        mHeldSinceNanos,
                        mProposal),
                mActions);
    }

    void tick(UsageInput.Tick tick) {
        if (!tick.term().equals(mTerm)) {
            mTerm = tick.term();
            mClock = ClockEstimate.startedAt(mNowNanos);
            mProposal = Optional.empty();
        }
        if (!tick.ledger().equals(mLedger)) {
            follow(tick.ledger());
        }
        if (mTerm.isPresent()) {
            tick.timeOfDayMillis()
                    .ifPresent(millis -> mClock = mClock.withOwnTime(mSelf, millis, mNowNanos));
        }
        if (mTerm.isPresent() && tick.leaseValid()) {
            propose();
            call();
        }
    }

    /** Keeps the counts of a report; the leader answers it with the true time. */
    void receive(UsageReport report) {
        if (mTerm.isEmpty()) {
            mTable = mTable.with(report);
            return;
        }
        long lateBefore = lateRequests(report);
        mTable = mTable.with(report);
        long late = lateRequests(report) - lateBefore;
        if (late > 0) {
            count(UsageMetric.LATE_REQUESTS, late);
            log(late + " requests of " + report.host() + " came after their window was closed");
        }
        mClock.trueTimeMillis(mNowNanos)
                .map(millis -> new UsageReceipt(report.sequence(), millis))
                .ifPresent(r -> mActions.add(new UsageAction.SendReceipt(report.host(), r)));
    }

    /** Uses the time of day of another host; the own one is read with each tick. */
    void sample(UsageInput.ClockSampled sampled) {
        if (mTerm.isPresent() && !sampled.host().equals(mSelf)) {
            mClock =
                    mClock.withSample(
                            sampled.host(), sampled.timeOfDayMillis(), sampled.takenNanos());
        }
    }

    void endCall(UsageInput.CallEnded ended) {
        mTurn = mTurn.withEnd(ended.fence(), mNowNanos);
        mCalls = mCalls.withEnd(ended.answer(), mNowNanos);
        String window = "usage window " + ended.window();
        switch (ended.answer()) {
            case ACCEPTED -> acknowledge(ended.window());
            case REFUSED -> {
                count(UsageMetric.CALLS_REFUSED, 1);
                log(window + " was refused for fencing number " + ended.fence());
            }
            case LATER -> {
                count(UsageMetric.CALLS_REFUSED, 1);
                log(window + " was refused because of too many calls");
            }
            default -> {
                count(UsageMetric.CALLS_UNANSWERED, 1);
                log(window + " got no answer and is reported again");
            }
        }
    }

    private void acknowledge(long window) {
        Optional<Long> now = mClock.trueTimeMillis(mNowNanos);
        boolean late = now.filter(millis -> mSchedule.isLate(window, millis)).isPresent();
        count(late ? UsageMetric.REPORTS_ACKNOWLEDGED_LATE : UsageMetric.REPORTS_ACKNOWLEDGED, 1);
        String age = now.map(m -> (m - mSchedule.endMillis(window)) + " ms").orElse("some time");
        String content =
                closedWindow(window)
                        .map(w -> total(w) + " requests of " + w.counts().size() + " workspaces")
                        .orElse("given up before");
        log("reported usage window " + window + " " + age + " after its end: " + content);
    }

    private static long total(UsageWindow window) {
        return window.counts().values().stream().mapToLong(Long::longValue).sum();
    }

    /** Takes over the ledger of the applied state. */
    private void follow(UsageLedger next) {
        UsageLedger last = mLedger;
        mLedger = next;
        if (next.fence() != last.fence()) {
            mHeldSinceNanos = mNowNanos;
        }
        next.lastClosed()
                .ifPresent(w -> mTable = mTable.withoutBefore(w + 1 - KEPT_CLOSED_WINDOWS));
        mProposal = mProposal.filter(proposal -> !isEffective(proposal.command()));
        if (mTerm.isPresent()) {
            if (holdsDuty() && next.fence() != last.fence()) {
                log(mSelf + " reports usage with fencing number " + next.fence());
            }
            report(last, next);
        }
    }

    private void report(UsageLedger last, UsageLedger next) {
        long closed =
                windows(next)
                        .filter(w -> last.lastClosed().filter(l -> w.number() <= l).isEmpty())
                        .count();
        count(UsageMetric.WINDOWS_CLOSED, closed);
        List<UsageWindow> given =
                last.unacknowledged().stream()
                        .filter(w -> windows(next).noneMatch(n -> n.number() == w.number()))
                        .toList();
        count(UsageMetric.WINDOWS_GIVEN_UP, given.size());
        given.forEach(w -> log("usage window " + w.number() + " is given up without a report"));
    }

    private static Stream<UsageWindow> windows(UsageLedger ledger) {
        return Stream.concat(ledger.acknowledged().stream(), ledger.unacknowledged().stream());
    }

    private Optional<UsageWindow> closedWindow(long number) {
        return windows(mLedger).filter(w -> w.number() == number).findFirst();
    }

    /** Returns how many requests of the workspaces of a report are not in their closed windows. */
    private long lateRequests(UsageReport report) {
        return report.windows().stream()
                .flatMap(reported -> closedWindow(reported.number()).stream())
                .mapToLong(closed -> lateRequests(report, closed))
                .sum();
    }

    private long lateRequests(UsageReport report, UsageWindow closed) {
        return report.windows().stream()
                .filter(reported -> reported.number() == closed.number())
                .flatMap(reported -> reported.counts().keySet().stream())
                .distinct()
                .mapToLong(
                        id ->
                                mTable.count(closed.number(), id)
                                        - closed.counts().getOrDefault(id, 0L))
                .filter(excess -> excess > 0)
                .sum();
    }

    private boolean holdsDuty() {
        return mLedger.holder().filter(mSelf::equals).isPresent()
                && mLedger.fence() == mOwnFence
                && mLedger.fence() > mCalls.refusedFence();
    }

    /** Proposes what is due; one proposal at a time. */
    private void propose() {
        boolean waits =
                mProposal
                        .filter(p -> mNowNanos - p.proposedNanos() < PROPOSAL_RETRY_NANOS)
                        .isPresent();
        if (waits) {
            return;
        }
        Optional<ControlCommand> command =
                confirmation().or(this::assignment).or(this::nextClosing);
        mProposal = command.map(c -> new UsageState.Proposal(c, mNowNanos));
        command.ifPresent(c -> mActions.add(new UsageAction.Propose(c)));
    }

    private Optional<ControlCommand> confirmation() {
        return mLedger.unacknowledged().stream()
                .map(UsageWindow::number)
                .filter(w -> !mHasPlatform || mCalls.acceptedWindow().filter(w::equals).isPresent())
                .findFirst()
                .map(ConfirmUsageReport::new);
    }

    /**
     * Takes the duty. A host whose number was refused waits first: the platform has seen another
     * holder.
     */
    private Optional<ControlCommand> assignment() {
        long next = mLedger.fence() + 1;
        boolean refused = mLedger.fence() == mOwnFence && mLedger.fence() <= mCalls.refusedFence();
        if (holdsDuty() || refused && !mTurn.isOwnCallOver(next, mNowNanos)) {
            return Optional.empty();
        }
        mOwnFence = next;
        return Optional.of(new AssignUsageDuty(mSelf, next));
    }

    private Optional<ControlCommand> nextClosing() {
        return mClock.trueTimeMillis(mNowNanos).filter(m -> holdsDuty()).flatMap(this::closing);
    }

    private Optional<ControlCommand> closing(long nowMillis) {
        long due = mSchedule.latestDue(nowMillis);
        long expected =
                mLedger.lastClosed().map(w -> w + 1).orElseGet(() -> firstWindow(nowMillis));
        long window = Math.max(expected, due + 1 - MAX_MISSING_WINDOWS);
        if (window > due) {
            return Optional.empty();
        }
        if (window > expected) {
            log((window - expected) + " usage windows are skipped, the first is " + expected);
        }
        if (mSchedule.endMillis(window) + RESENT_MILLIS < startMillis(nowMillis)
                || mTable.isFull()) {
            log("usage window " + window + " may be incomplete");
        }
        return Optional.of(new CloseUsageWindow(mLedger.fence(), mTable.window(window)));
    }

    /** Returns the first window of a deployment: that of the first counts, or of the start. */
    private long firstWindow(long nowMillis) {
        long earliest = mSchedule.windowAt(nowMillis) + 1 - UsageTable.MAX_WINDOWS;
        long started =
                Math.max(
                        earliest, mSchedule.windowAt(startMillis(nowMillis) + CLOCK_SPREAD_MILLIS));
        return mTable.firstWindow()
                .filter(window -> window >= earliest)
                .map(window -> Math.min(window, started))
                .orElse(started);
    }

    /** Returns the true time at which this process started. */
    private long startMillis(long nowMillis) {
        return nowMillis - (mNowNanos - mStartNanos) / NANOS_PER_MILLI;
    }

    private boolean isEffective(ControlCommand command) {
        if (command instanceof AssignUsageDuty assign) {
            return mLedger.fence() >= assign.fence();
        } else if (command instanceof CloseUsageWindow close) {
            return mLedger.fence() != close.fence()
                    || mLedger.lastClosed().filter(w -> w >= close.window().number()).isPresent();
        } else if (command instanceof ConfirmUsageReport confirm) {
            return mLedger.unacknowledged().stream().noneMatch(w -> w.number() == confirm.window());
        }
        return true;
    }

    /** Reports the oldest closed window that is not acknowledged. */
    private void call() {
        long fence = mLedger.fence();
        if (!mHasPlatform
                || !holdsDuty()
                || !mCalls.permits(fence, mNowNanos)
                || !mTurn.permits(fence, mHeldSinceNanos, mNowNanos)) {
            return;
        }
        mLedger.unacknowledged().stream()
                .findFirst()
                .filter(w -> mCalls.acceptedWindow().filter(a -> a == w.number()).isEmpty())
                .ifPresent(
                        window -> {
                            mTurn = mTurn.withCall(fence, mNowNanos);
                            mCalls = mCalls.withCall(fence, window.number(), mNowNanos);
                            mActions.add(new UsageAction.CallPlatform(fence, window));
                        });
    }

    private void count(UsageMetric metric, long amount) {
        if (amount > 0) {
            mActions.add(new UsageAction.Count(metric, amount));
        }
    }

    private void log(String text) {
        mActions.add(new UsageAction.Log("platform: " + text));
    }
}
