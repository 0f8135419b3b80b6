package org.crocusturn.core.entryhosts;

import java.util.Objects;
import org.crocusturn.core.HostId;
import org.crocusturn.core.PersistentMap;
import org.crocusturn.core.controlhosts.ControlView;
import org.crocusturn.core.platform.Phase;

/**
 * State of {@link Ingress}: the control view and the open requests of an entry host. Immutable.
 */
public final class IngressState {
    final HostId mHost;
    final ControlView mView;
    final Phase mPhase;
    final PersistentMap<Long, OpenRequest> mOpen;
    final PersistentMap<Long, Long> mAttempts;
    final PersistentMap<Long, Long> mWaiting;
    final long mNextAttempt;
    final long mEarliestNanos;

    IngressState(
            HostId host,
            ControlView view,
            Phase phase,
            PersistentMap<Long, OpenRequest> open,
            PersistentMap<Long, Long> attempts,
            PersistentMap<Long, Long> waiting,
            long nextAttempt,
            long earliestNanos) {
        mHost = Objects.requireNonNull(host, "host");
        mView = Objects.requireNonNull(view, "view");
        mPhase = Objects.requireNonNull(phase, "phase");
        mOpen = open;
        mAttempts = attempts;
        mWaiting = waiting;
        mNextAttempt = nextAttempt;
        mEarliestNanos = earliestNanos;
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
    public int open() {
        return mOpen.size();
    }

    /** Returns the number of requests that wait for their next attempt. */
    public int waiting() {
        return mWaiting.size();
    }
}
