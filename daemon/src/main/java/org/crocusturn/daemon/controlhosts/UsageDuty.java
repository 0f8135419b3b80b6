package org.crocusturn.daemon.controlhosts;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.crocusturn.core.Decision;
import org.crocusturn.core.platform.DutyTurn;
import org.crocusturn.core.platform.UsageAction;
import org.crocusturn.core.platform.UsageAnswer;
import org.crocusturn.core.platform.UsageInput;
import org.crocusturn.core.platform.UsageReporting;
import org.crocusturn.core.platform.UsageState;
import org.crocusturn.core.ring.DutyHandler;
import org.crocusturn.core.ring.SteadyClock;
import org.crocusturn.core.ring.ThreadFailures;
import org.crocusturn.daemon.platform.DecisionLog;
import org.crocusturn.daemon.platform.Metrics;
import org.crocusturn.daemon.platform.UsageOrder;
import org.crocusturn.daemon.platform.UsageService;

/**
 * Runs the decisions on usage reports of a control host.
 *
 * <p>They use {@link System#nanoTime}: {@link SteadyClock} takes a step of the time of day for a
 * suspension.
 */
final class UsageDuty implements DutyHandler<UsageInput> {
    private static final Logger LOG = LogManager.getLogger(UsageDuty.class);
    private static final long TICK_INTERVAL_NANOS = Duration.ofMillis(20).toNanos();

    /** Interval of ticks while another host leads, in nanoseconds. */
    private static final long IDLE_TICK_INTERVAL_NANOS = Duration.ofMillis(200).toNanos();

    /** Time between two readings of the clock above which the one in between is not used. */
    private static final long MAX_READING_NANOS = Duration.ofMillis(1).toNanos();

    /** A call that the service does not end in this time counts as one without an answer. */
    private static final Duration MAX_CALL_TIME = Duration.ofSeconds(10);

    private final DecisionLog mLog = DecisionLog.create(LOG, "");
    private final UsageReporting mReporting;
    private final UsageContext mContext;
    private final Optional<UsageService> mService;
    private final Supplier<Optional<Long>> mTerm;
    private final Consumer<UsageInput> mEvents;
    private final Metrics mMetrics;
    private UsageState mState;
    private long mNextTickNanos = SteadyClock.nanoTime();

    private UsageDuty(
            UsageReporting reporting,
            UsageContext context,
            Optional<UsageService> service,
            Supplier<Optional<Long>> term,
            Consumer<UsageInput> events,
            Metrics metrics) {
        mReporting = reporting;
        mContext = context;
        mService = service;
        mTerm = term;
        mEvents = events;
        mMetrics = metrics;
        DutyTurn turn =
                service.map(UsageService::firstTurn)
                        .orElseGet(() -> DutyTurn.of(Duration.ZERO, Duration.ZERO));
        mState = UsageState.startedAt(turn, System.nanoTime());
    }

    /**
     * Creates the handler.
     *
     * @param reporting decisions
     * @param context access to the control host
     * @param service the platform, if there is one
     * @param term returns the term that this host leads, if it leads
     * @param events takes the events that end calls; it must not lose them
     * @param metrics metrics of the process
     */
    static UsageDuty create(
            UsageReporting reporting,
            UsageContext context,
            Optional<UsageService> service,
            Supplier<Optional<Long>> term,
            Consumer<UsageInput> events,
            Metrics metrics) {
        return new UsageDuty(
                Objects.requireNonNull(reporting, "reporting"),
                Objects.requireNonNull(context, "context"),
                Objects.requireNonNull(service, "service"),
                Objects.requireNonNull(term, "term"),
                Objects.requireNonNull(events, "events"),
                Objects.requireNonNull(metrics, "metrics"));
    }

    @Override
    public void onEvent(UsageInput event) {
        try {
            step(event, System.nanoTime());
        } catch (RuntimeException e) {
            if (!(event instanceof UsageInput.ReportReceived)) {
                throw e;
            }
            // The decision changed nothing. Each next leader would fail at the same message.
            LOG.error("platform: dropped a usage report that failed: {}", event, e);
        }
    }

    @Override
    public long onTimer(long nowNanos) {
        if (mNextTickNanos - nowNanos <= 0) {
            tick();
            mNextTickNanos =
                    nowNanos
                            + (mState.term().isPresent()
                                    ? TICK_INTERVAL_NANOS
                                    : IDLE_TICK_INTERVAL_NANOS);
        }
        return mNextTickNanos;
    }

    private void tick() {
        boolean leaseValid = mContext.isLeaderLeaseValid();
        Optional<Long> term = mTerm.get();
        long before = System.nanoTime();
        long timeOfDayMillis = System.currentTimeMillis();
        long now = System.nanoTime();
        step(
                new UsageInput.Tick(
                        term,
                        leaseValid,
                        mContext.ledger(),
                        Optional.of(timeOfDayMillis).filter(m -> now - before < MAX_READING_NANOS)),
                now);
    }

    private void step(UsageInput input, long nowNanos) {
        Decision<UsageState, UsageAction> decision = mReporting.step(mState, input, nowNanos);
        mState = decision.state();
        decision.actions().forEach(this::perform);
    }

    private void perform(UsageAction action) {
        if (action instanceof UsageAction.Propose propose) {
            mContext.propose(propose.command());
        } else if (action instanceof UsageAction.SendReceipt send) {
            if (mContext.isLeaderLeaseValid()) {
                mContext.send(send.host(), send.receipt());
            }
        } else if (action instanceof UsageAction.CallPlatform call) {
            call(call);
        } else if (action instanceof UsageAction.Log log) {
            mLog.write(log.text(), SteadyClock.nanoTime());
        } else if (action instanceof UsageAction.Count count) {
            mMetrics.recordUsage(count.metric(), count.amount());
        }
    }

    private void call(UsageAction.CallPlatform call) {
        UsageOrder order =
                new UsageOrder(call.fence(), call.window(), mContext::isLeaderLeaseValid);
        mService.map(service -> service.report(order))
                .orElseGet(() -> CompletableFuture.completedFuture(UsageAnswer.UNKNOWN))
                .completeOnTimeout(
                        UsageAnswer.UNKNOWN, MAX_CALL_TIME.toMillis(), TimeUnit.MILLISECONDS)
                .thenAccept(
                        ThreadFailures.guard(
                                answer ->
                                        mEvents.accept(
                                                new UsageInput.CallEnded(
                                                        call.fence(),
                                                        call.window().number(),
                                                        answer))));
    }
}
