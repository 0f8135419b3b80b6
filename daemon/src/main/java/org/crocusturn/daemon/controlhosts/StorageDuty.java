package org.crocusturn.daemon.controlhosts;

import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongPredicate;
import java.util.function.Predicate;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.crocusturn.core.controlhosts.ConsensusAction;
import org.crocusturn.core.ring.DutyHandler;

/**
 * Writes persists on a separate thread. All queued persists share one sync.
 *
 * <p>Refused writes are repeated until the disk accepts them. Until then nothing is reported as
 * synced, so the member acknowledges nothing and the others continue without it, as with a slow
 * disk.
 */
public final class StorageDuty implements DutyHandler<ConsensusAction.Persist> {
    /**
     * Interval of attempts to report a sync or a failure while the ring of the receiver is full, in
     * nanoseconds.
     */
    private static final long REPORT_RETRY_INTERVAL_NANOS = 5_000_000;

    /** Interval of timer calls while nothing is due, in nanoseconds. */
    private static final long IDLE_INTERVAL_NANOS = 1_000_000_000;

    /**
     * Time between two attempts to write after a refused one, in nanoseconds. A host has to be back
     * within a second once its disk has room; an attempt costs at most a few writes.
     */
    private static final long WRITE_RETRY_INTERVAL_NANOS = 100_000_000;

    private static final Logger LOG = LogManager.getLogger(StorageDuty.class);

    private final LogStorage mStorage;
    private final LongPredicate mSyncReporter;
    private final Predicate<RuntimeException> mOnFailure;
    private final List<ConsensusAction.Persist> mPendingPersists = new ArrayList<>();
    private volatile long mSyncedSequence;
    private volatile long mSyncedBytes;
    private long mReportedSequence;
    private boolean mFailed;
    private Optional<RuntimeException> mUnreportedFailure = Optional.empty();

    /** Number of refused attempts since the last successful one. */
    private int mRefusedAttempts;

    private long mNextAttemptNanos;

    private StorageDuty(
            LogStorage storage, LongPredicate syncReporter, Predicate<RuntimeException> onFailure) {
        mStorage = storage;
        mSyncReporter = syncReporter;
        mOnFailure = onFailure;
    }

    /**
     * Creates the handler.
     *
     * @param storage storage that only this duty uses
     * @param syncReporter accepts the sequence of the last synced persist; returns false if the
     *     report has to be repeated later
     * @param onFailure accepts the first failure that is not a refused write; returns false if the
     *     report has to be repeated later. Nothing is written after the failure
     */
    public static StorageDuty create(
            LogStorage storage, LongPredicate syncReporter, Predicate<RuntimeException> onFailure) {
        return new StorageDuty(
                Objects.requireNonNull(storage, "storage"),
                Objects.requireNonNull(syncReporter, "syncReporter"),
                Objects.requireNonNull(onFailure, "onFailure"));
    }

    /** Returns the sequence of the last synced persist. Safe for any thread. */
    public long syncedSequence() {
        return mSyncedSequence;
    }

    /** Returns the size in memory of all persists that were synced. Safe for any thread. */
    public long syncedBytes() {
        return mSyncedBytes;
    }

    @Override
    public void onEvent(ConsensusAction.Persist persist) {
        mPendingPersists.add(persist);
    }

    @Override
    public long onTimer(long nowNanos) {
        boolean waiting = mRefusedAttempts > 0 && mNextAttemptNanos - nowNanos > 0;
        if (!mPendingPersists.isEmpty() && !mFailed && !waiting) {
            sync(nowNanos);
        }
        mUnreportedFailure = mUnreportedFailure.filter(failure -> !mOnFailure.test(failure));
        if (mSyncedSequence > mReportedSequence && mSyncReporter.test(mSyncedSequence)) {
            mReportedSequence = mSyncedSequence;
        }
        long interval =
                mSyncedSequence > mReportedSequence || mUnreportedFailure.isPresent()
                        ? REPORT_RETRY_INTERVAL_NANOS
                        : IDLE_INTERVAL_NANOS;
        return mRefusedAttempts > 0
                ? Math.min(mNextAttemptNanos, nowNanos + interval)
                : nowNanos + interval;
    }

    private void sync(long nowNanos) {
        try {
            mStorage.persist(List.copyOf(mPendingPersists));
            mSyncedBytes +=
                    mPendingPersists.stream()
                            .mapToLong(ConsensusAction.Persist::approximateBytes)
                            .sum();
            mSyncedSequence = mPendingPersists.get(mPendingPersists.size() - 1).sequence();
            mPendingPersists.clear();
            if (mRefusedAttempts > 0) {
                LOG.info(
                        "controlhosts: the disk accepts writes again after {} refused attempts",
                        mRefusedAttempts);
                mRefusedAttempts = 0;
            }
        } catch (UncheckedIOException e) {
            onRefused(e, nowNanos);
        } catch (RuntimeException e) {
            mFailed = true;
            mPendingPersists.clear();
            mUnreportedFailure = Optional.of(e);
        }
    }

    private void onRefused(UncheckedIOException failure, long nowNanos) {
        if (Thread.currentThread().isInterrupted()) {
            LOG.debug(
                    "controlhosts: a write was interrupted because the member was stopped",
                    failure);
        } else if (mRefusedAttempts == 0) {
            LOG.error(
                    "controlhosts: the disk refused a write, which is repeated every {} ms",
                    TimeUnit.NANOSECONDS.toMillis(WRITE_RETRY_INTERVAL_NANOS),
                    failure);
        }
        mRefusedAttempts++;
        mNextAttemptNanos = nowNanos + WRITE_RETRY_INTERVAL_NANOS;
    }
}
