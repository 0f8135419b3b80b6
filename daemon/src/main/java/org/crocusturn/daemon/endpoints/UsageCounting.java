package org.crocusturn.daemon.endpoints;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.crocusturn.core.endpoints.EndpointError;
import org.crocusturn.core.endpoints.MeteredRequests;
import org.crocusturn.core.entryhosts.SessionCall;
import org.crocusturn.core.operators.UsageWindow;
import org.crocusturn.core.platform.UsageWindows;

/** Counts requests by window of true time and passes changed counts on. Not thread-safe. */
public final class UsageCounting implements UsageMeter {
    private static final Logger LOG = LogManager.getLogger(UsageCounting.class);

    /**
     * Interval at which changed counts are passed on. A process that dies loses those of one
     * interval, which must stay below 5% of a window of 5 s.
     */
    private static final long INTERVAL_NANOS = Duration.ofMillis(200).toNanos();

    private static final long IDLE_INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();

    private final UsageWindows mWindows;
    private final MeteredRequests mRule = MeteredRequests.reported();
    private final LongSupplier mTrueTimeMillis;
    private final Predicate<List<UsageWindow>> mReceiver;
    private final UsageCounters mCounters;
    private long mPassedSequence;
    private Optional<Long> mLastPassedNanos = Optional.empty();

    private UsageCounting(
            UsageWindows windows,
            LongSupplier trueTimeMillis,
            Predicate<List<UsageWindow>> receiver) {
        mWindows = windows;
        mTrueTimeMillis = trueTimeMillis;
        mReceiver = receiver;
        mCounters = new UsageCounters(windows);
    }

    /**
     * Creates a meter.
     *
     * @param windows windows of usage
     * @param trueTimeMillis returns the true time in milliseconds since 1970
     * @param receiver accepts changed counts; returns false if it could not, so that they are
     *     passed on again
     */
    public static UsageCounting create(
            UsageWindows windows,
            LongSupplier trueTimeMillis,
            Predicate<List<UsageWindow>> receiver) {
        return new UsageCounting(
                Objects.requireNonNull(windows, "windows"),
                Objects.requireNonNull(trueTimeMillis, "trueTimeMillis"),
                Objects.requireNonNull(receiver, "receiver"));
    }

    @Override
    public long currentWindow() {
        return mWindows.numberAt(mTrueTimeMillis.getAsLong());
    }

    @Override
    public void record(SessionCall call, long window, Optional<EndpointError> error) {
        if (mRule.isCounted(call.workspace(), call.step(), error)) {
            mCounters.count(call.workspace(), window);
        }
    }

    @Override
    public long onTimer(long nowNanos) {
        if (!mCounters.isChangedSince(mPassedSequence)) {
            return nowNanos + IDLE_INTERVAL_NANOS;
        }
        long dueNanos = mLastPassedNanos.map(last -> last + INTERVAL_NANOS).orElse(nowNanos);
        if (dueNanos - nowNanos > 0) {
            return dueNanos;
        }
        flush(nowNanos);
        return nowNanos + INTERVAL_NANOS;
    }

    @Override
    public void flush(long nowNanos) {
        mCounters.expire(mTrueTimeMillis.getAsLong());
        List<UsageWindow> changed = mCounters.changedSince(mPassedSequence);
        long sequence = mCounters.endReport();
        if (changed.isEmpty() || mReceiver.test(changed)) {
            mPassedSequence = sequence;
        }
        mLastPassedNanos = Optional.of(nowNanos);
        long late = mCounters.takeLateRequests();
        if (late > 0) {
            LOG.warn("endpoints: {} requests ended too late to be counted in their windows", late);
        }
    }
}
