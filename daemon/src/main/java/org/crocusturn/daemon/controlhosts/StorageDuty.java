package org.crocusturn.daemon.controlhosts;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.function.Consumer;
import java.util.function.LongPredicate;
import org.crocusturn.core.controlhosts.ConsensusAction;
import org.crocusturn.core.ring.DutyHandler;

/** Syncs persists on a thread of its own; all that wait are synced together. */
public final class StorageDuty implements DutyHandler<ConsensusAction.Persist> {
    /** Time between two attempts to report to a full ring, in nanoseconds. */
    private static final long REPORT_RETRY_INTERVAL_NANOS = 5_000_000;

    /** Time of the next timer call if nothing is due, in nanoseconds. */
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
     * @param storage where to write; used by this duty only
     * @param syncReporter told the sequence of the last synced persist; returns false if it has to
     *     be told again later
     * @param onFailure told about the first failure; nothing is written after it, because it is not
     *     known what a failed sync left on disk
     */
    public static StorageDuty create(
            LogStorage storage, LongPredicate syncReporter, Consumer<RuntimeException> onFailure) {
        return new StorageDuty(
                Objects.requireNonNull(storage, "storage"),
                Objects.requireNonNull(syncReporter, "report"),
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
