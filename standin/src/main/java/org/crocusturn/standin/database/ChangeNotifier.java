package org.crocusturn.standin.database;

import org.crocusturn.core.ring.Duty;

/** Notifies the status duty of changed copies; coalesces changes into one pending event. */
final class ChangeNotifier implements Runnable {
    private volatile StatusDuty mStatus;
    private volatile Duty<StatusEvent> mDuty;

    /** Sets the duty to notify; earlier changes are not reported. */
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
