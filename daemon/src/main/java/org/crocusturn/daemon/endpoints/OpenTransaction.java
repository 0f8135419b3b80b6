package org.crocusturn.daemon.endpoints;

import java.util.Optional;
import org.crocusturn.core.HostId;
import org.crocusturn.core.callers.TransactionStep;
import org.crocusturn.core.entryhosts.SessionCall;

/** Transaction that has begun and has not ended, bound to its connection. */
final class OpenTransaction {
    private final Key mKey;
    private final PooledSession mSession;
    private final boolean mReadOnly;
    private Optional<StatementRun> mRun;
    private boolean mWrote;
    private boolean mAbandoned;
    private long mLastUsedNanos;

    /** Identifies a transaction by its originating process and the session there. */
    record Key(HostId origin, long session) {
        /** Returns the key of the transaction that a run belongs to. */
        static Key of(StatementRun run) {
            return new Key(run.origin(), run.call().session());
        }
    }

    OpenTransaction(StatementRun first, long nowNanos) {
        mKey = Key.of(first);
        mSession = first.session();
        mReadOnly = first.call().step() == TransactionStep.BEGIN_READ_ONLY;
        mRun = Optional.of(first);
        mLastUsedNanos = nowNanos;
    }

    Key key() {
        return mKey;
    }

    PooledSession session() {
        return mSession;
    }

    boolean isReadOnly() {
        return mReadOnly;
    }

    boolean wrote() {
        return mWrote;
    }

    Optional<StatementRun> run() {
        return mRun;
    }

    void setRun(Optional<StatementRun> run, long nowNanos) {
        mRun = run;
        mLastUsedNanos = nowNanos;
    }

    /** Records a statement that is being sent; a write counts even if no result arrives. */
    void recordStatement(SessionCall call) {
        mWrote |= call.writes();
    }

    /** Marks the transaction to be rolled back when its running statement ends. */
    void abandon() {
        mAbandoned = true;
    }

    /** Returns whether the transaction accepts another statement. */
    boolean isReady() {
        return mRun.isEmpty() && !mAbandoned;
    }

    boolean isAbandoned() {
        return mAbandoned;
    }

    long lastUsedNanos() {
        return mLastUsedNanos;
    }
}
