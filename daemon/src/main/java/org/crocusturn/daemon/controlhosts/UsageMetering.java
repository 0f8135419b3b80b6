package org.crocusturn.daemon.controlhosts;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.crocusturn.core.HostId;
import org.crocusturn.core.controlhosts.EntryReport;
import org.crocusturn.core.controlhosts.UsageReport;
import org.crocusturn.core.platform.MeteringSettings;
import org.crocusturn.core.platform.UsageInput;
import org.crocusturn.core.platform.UsageReporting;
import org.crocusturn.core.ring.BudgetedHandler;
import org.crocusturn.core.ring.ByteBudget;
import org.crocusturn.core.ring.Duty;
import org.crocusturn.core.ring.FailureHandler;
import org.crocusturn.core.ring.HeapShare;
import org.crocusturn.daemon.platform.Metrics;
import org.crocusturn.daemon.platform.UsageService;

/**
 * Runs the usage duty of a control host and passes on what arrives for it.
 *
 * <p>Safe for any thread.
 */
final class UsageMetering {
    private static final Logger LOG = LogManager.getLogger(UsageMetering.class);
    private static final int RING_CAPACITY = 4_096;

    /** Leaves room for the events that end calls. */
    private static final int MAX_WAITING_MESSAGES = RING_CAPACITY - 16;

    private static final long SAMPLE_INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();
    private static final long REPORT_BYTES = 200;
    private static final long COUNT_BYTES = 150;

    private final Map<HostId, Long> mSampledNanos = new ConcurrentHashMap<>();
    private final ByteBudget mBytes = HeapShare.SIXTEENTH.newBudget();
    private final Duty<UsageInput> mDuty;
    private volatile Optional<Long> mTerm = Optional.empty();

    private UsageMetering(
            HostId self,
            MeteringSettings settings,
            Optional<UsageService> service,
            UsageContext context,
            Metrics metrics,
            FailureHandler failures) {
        mDuty =
                Duty.start(
                        self + "-usage",
                        RING_CAPACITY,
                        BudgetedHandler.of(
                                UsageDuty.create(
                                        UsageReporting.of(self, settings, service.isPresent()),
                                        context,
                                        service,
                                        () -> mTerm,
                                        this::offerEnd,
                                        metrics),
                                mBytes,
                                UsageMetering::approximateBytes),
                        failures);
    }

    /**
     * Starts the duty.
     *
     * @param self this host
     * @param settings how usage is reported
     * @param service the platform, if there is one
     * @param context access to the control host
     * @param metrics metrics of the process
     * @param failures handles the failures of the duty
     */
    static UsageMetering start(
            HostId self,
            MeteringSettings settings,
            Optional<UsageService> service,
            UsageContext context,
            Metrics metrics,
            FailureHandler failures) {
        return new UsageMetering(self, settings, service, context, metrics, failures);
    }

    /** This host leads a term, and its state has all entries of earlier terms; or leads no more. */
    void onLeadership(Optional<Long> term) {
        mSampledNanos.clear();
        mTerm = term;
    }

    /** Passes on the counts of a process. */
    void onReport(HostId link, UsageReport report) {
        if (report.host().equals(link)) {
            offer(new UsageInput.ReportReceived(report));
        }
    }

    /** Passes on the time of day of a host at most once a second, while this host leads. */
    void onReport(HostId link, EntryReport report) {
        long now = System.nanoTime();
        if (mTerm.isPresent() && report.timeOfDayMillis() > 0 && report.host().equals(link)) {
            mSampledNanos.compute(
                    link,
                    (host, last) -> {
                        if (last != null && now - last < SAMPLE_INTERVAL_NANOS) {
                            return last;
                        }
                        offer(new UsageInput.ClockSampled(host, report.timeOfDayMillis(), now));
                        return now;
                    });
        }
    }

    /** Stops the duty. */
    void stop(Duration timeout) {
        mDuty.stop(timeout);
    }

    private void offer(UsageInput input) {
        long bytes = approximateBytes(input);
        if (!mBytes.tryReserveOrSole(bytes)) {
            LOG.warn("platform: dropped a usage report, because {} bytes wait", mBytes.usedBytes());
        } else if (!mDuty.offer(input, MAX_WAITING_MESSAGES)) {
            mBytes.release(bytes);
            LOG.warn("platform: dropped a usage report, because the ring of the duty is full");
        }
    }

    private void offerEnd(UsageInput input) {
        if (!mDuty.offer(input)) {
            LOG.error("platform: the end of a usage report was dropped: {}", input);
        }
    }

    private static long approximateBytes(UsageInput input) {
        return input instanceof UsageInput.ReportReceived received
                ? REPORT_BYTES + COUNT_BYTES * counts(received.report())
                : 0;
    }

    private static long counts(UsageReport report) {
        return report.windows().stream().mapToLong(w -> w.counts().size()).sum();
    }
}
