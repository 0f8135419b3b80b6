package org.crocusturn.core.entryhosts;

import java.util.Objects;
import org.crocusturn.core.HostId;
import org.crocusturn.core.PersistentMap;
import org.crocusturn.core.controlhosts.ControlView;
import org.crocusturn.core.platform.Phase;

/** State of {@link Ingress}: the control view and the open requests of an entry host. Immutable. */
public final class IngressState {
    final HostId mHost;
    final ControlView mView;
    final Phase mPhase;
    final PersistentMap<Long, OpenRequest> mOpenRequests;
    final PersistentMap<Long, Long> mRequestsByAttempt;
    final PersistentMap<Long, Long> mRetryTimes;
    final long mNextAttempt;
    final long mEarliestDeadlineNanos;

    IngressState(
            HostId host,
            ControlView view,
            Phase phase,
            PersistentMap<Long, OpenRequest> openRequests,
            PersistentMap<Long, Long> requestsByAttempt,
            PersistentMap<Long, Long> retryTimes,
            long nextAttempt,
            long earliestDeadlineNanos) {
        mHost = Objects.requireNonNull(host, "host");
        mView = Objects.requireNonNull(view, "view");
        mPhase = Objects.requireNonNull(phase, "phase");
        mOpenRequests = openRequests;
        mRequestsByAttempt = requestsByAttempt;
        mRetryTimes = retryTimes;
        mNextAttempt = nextAttempt;
        mEarliestDeadlineNanos = earliestDeadlineNanos;
    }

    /** Creates the state of a host without open requests. */
    public static IngressState of(HostId host, ControlView view) {
        return new IngressState(
                host,
                view,
                Phase.SERVING,
                PersistentMap.empty(),
                PersistentMap.empty(),
                PersistentMap.empty(),
                1,
                Long.MAX_VALUE);
    }

    /** Returns the number of requests that have not been answered. */
    public int openCount() {
        return mOpenRequests.size();
    }

    /** Returns the number of requests that wait for their next attempt. */
    public int waitingCount() {
        return mRetryTimes.size();
    }
}
