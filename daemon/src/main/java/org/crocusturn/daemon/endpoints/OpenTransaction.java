package org.crocusturn.daemon.endpoints;

import java.util.Optional;
import org.crocusturn.core.HostId;
import org.crocusturn.core.callers.TransactionStep;
import org.crocusturn.core.entryhosts.SessionCall;

/** Is a transaction on its connection, between its first statement and its end. */
final class OpenTransaction {
    private final Key mKey;
    private final PooledSession mSession;
    private final boolean mReadOnly;
    private Optional<StatementRun> mRun;
    private boolean mWrote;
    private boolean mAbandoned;
    private long mUsedNanos;

    /** Names a transaction: the process that it came from, and the session there. */
    record Key(HostId origin, long session) {}

    OpenTransaction(StatementRun first, long nowNanos) {
        mKey = new Key(first.origin(), first.call().session());
        mSession = first.session();
        mReadOnly = first.call().step() == TransactionStep.BEGIN_READ_ONLY;
        mRun = Optional.of(first);
        mUsedNanos = nowNanos;
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
        mUsedNanos = nowNanos;
    }

    /** Notes a statement that is sent: it counts as a write although its answer may not come. */
    void sending(SessionCall call) {
        mWrote |= call.writes();
    }

    /** Notes that the transaction is to be rolled back as soon as nothing runs in it. */
    void abandon() {
        mAbandoned = true;
    }

    /** Returns whether it can take another statement. */
    boolean isFree() {
        return mRun.isEmpty() && !mAbandoned;
    }

    boolean isAbandoned() {
        return mAbandoned;
    }

    long usedNanos() {
        return mUsedNanos;
    }
}
