package org.crocusturn.standin.database;

import org.crocusturn.core.ring.Duty;

/** Tells the status duty that a copy changed; many changes in a row become one event. */
final class ChangeNotifier implements Runnable {
    private volatile StatusDuty mStatus;
    private volatile Duty<StatusEvent> mDuty;

    /** Sets whom to tell; changes before are not told. */
    void connect(StatusDuty status, Duty<StatusEvent> duty) {
        mDuty = duty;
        mStatus = status;
    }

    @Override
    public void run() {
        StatusDuty status = mStatus;
        if (status != null
                && status.markChangePending()
                && !mDuty.offer(new StatusEvent.CopyChanged())) {
            status.clearChangePending();
        }
    }
}
