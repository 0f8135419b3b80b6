package org.crocusturn.daemon.controlhosts;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.function.Consumer;
import java.util.function.LongPredicate;
import org.crocusturn.core.controlhosts.ConsensusAction;
import org.crocusturn.core.ring.DutyHandler;

/** Writes persists on a separate thread. All queued persists share one sync. */
public final class StorageDuty implements DutyHandler<ConsensusAction.Persist> {
    /**
     * Interval of attempts to report a sync while the ring of the receiver is full, in nanoseconds.
     */
    private static final long REPORT_RETRY_INTERVAL_NANOS = 5_000_000;

    /** Interval of timer calls while nothing is due, in nanoseconds. */
    private static final long IDLE_INTERVAL_NANOS = 1_000_000_000;

    private final LogStorage mStorage;
    private final LongPredicate mSyncReporter;
    private final Consumer<RuntimeException> mOnFailure;
    private final List<ConsensusAction.Persist> mPendingPersists = new ArrayList<>();
    private long mSyncedSequence;
    private long mReportedSequence;
    private boolean mFailed;

    private StorageDuty(
            LogStorage storage, LongPredicate syncReporter, Consumer<RuntimeException> onFailure) {
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
     * @param onFailure called with the first failure. Nothing is written after it, because the
     *     content of the disk is unknown after a failed sync
     */
    public static StorageDuty create(
            LogStorage storage, LongPredicate syncReporter, Consumer<RuntimeException> onFailure) {
        return new StorageDuty(
                Objects.requireNonNull(storage, "storage"),
                Objects.requireNonNull(syncReporter, "syncReporter"),
                Objects.requireNonNull(onFailure, "onFailure"));
    }

    @Override
    public void onEvent(ConsensusAction.Persist persist) {
        mPendingPersists.add(persist);
    }

    @Override
    public long onTimer(long nowNanos) {
        if (!mPendingPersists.isEmpty() && !mFailed) {
            sync();
        }
        if (mSyncedSequence > mReportedSequence && mSyncReporter.test(mSyncedSequence)) {
            mReportedSequence = mSyncedSequence;
        }
        return nowNanos
                + (mSyncedSequence > mReportedSequence
                        ? REPORT_RETRY_INTERVAL_NANOS
                        : IDLE_INTERVAL_NANOS);
    }

    private void sync() {
        try {
            mStorage.persist(List.copyOf(mPendingPersists));
            mSyncedSequence = mPendingPersists.get(mPendingPersists.size() - 1).sequence();
            mPendingPersists.clear();
        } catch (RuntimeException e) {
            mFailed = true;
            mPendingPersists.clear();
            mOnFailure.accept(e);
        }
    }
}
