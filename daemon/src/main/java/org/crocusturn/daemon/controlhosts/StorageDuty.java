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
    private static final long REPORT_RETRY_NANOS = 5_000_000;

    /** Time of the next timer call if nothing is due, in nanoseconds. */
    private static final long IDLE_NANOS = 1_000_000_000;

    private final LogStorage mStorage;
    private final LongPredicate mReport;
    private final Consumer<RuntimeException> mOnFailure;
    private final List<ConsensusAction.Persist> mWaiting = new ArrayList<>();
    private long mSynced;
    private long mReported;
    private boolean mFailed;

    private StorageDuty(
            LogStorage storage, LongPredicate report, Consumer<RuntimeException> onFailure) {
        mStorage = storage;
        mReport = report;
        mOnFailure = onFailure;
    }

    /**
     * Creates the handler.
     *
     * @param storage where to write; used by this duty only
     * @param report told the sequence of the last synced persist; returns false if it has to be
     *     told again later
     * @param onFailure told about the first failure; nothing is written after it, because it is not
     *     known what a failed sync left on disk
     */
    public static StorageDuty create(
            LogStorage storage, LongPredicate report, Consumer<RuntimeException> onFailure) {
        return new StorageDuty(
                Objects.requireNonNull(storage, "storage"),
                Objects.requireNonNull(report, "report"),
                Objects.requireNonNull(onFailure, "onFailure"));
    }

    @Override
    public void onEvent(ConsensusAction.Persist persist) {
        mWaiting.add(persist);
    }

    @Override
    public long onTimer(long nowNanos) {
        if (!mWaiting.isEmpty() && !mFailed) {
            sync();
        }
        if (mSynced > mReported && mReport.test(mSynced)) {
            mReported = mSynced;
        }
        return nowNanos + (mSynced > mReported ? REPORT_RETRY_NANOS : IDLE_NANOS);
    }

    private void sync() {
        try {
            mStorage.persist(List.copyOf(mWaiting));
            mSynced = mWaiting.get(mWaiting.size() - 1).sequence();
            mWaiting.clear();
        } catch (RuntimeException e) {
            mFailed = true;
            mWaiting.clear();
            mOnFailure.accept(e);
        }
    }
}
