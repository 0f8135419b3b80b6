package org.crocusturn.core.platform;

import java.util.Objects;
import org.crocusturn.core.Decision;
import org.crocusturn.core.HostId;

/**
 * Decides how a control host takes part in the reporting of usage: it keeps the counts of all
 * processes, and while it leads, it holds the duty, closes windows and reports them.
 *
 * <p>A window is reported only after it was closed in the replicated state, as it stands there, so
 * that each holder of the duty sends the same report. A holder uses a fencing number that it has
 * proposed itself: a restarted process does not know what became of earlier ones.
 *
 * <p>Immutable.
 */
public final class UsageReporting {
    private final HostId mSelf;
    private final UsageSchedule mSchedule;
    private final boolean mHasPlatform;

    private UsageReporting(HostId self, UsageSchedule schedule, boolean hasPlatform) {
        mSelf = self;
        mSchedule = schedule;
        mHasPlatform = hasPlatform;
    }

    /**
     * Creates the decisions of a control host.
     *
     * @param self this host
     * @param settings length of the windows and time for reporting them
     * @param hasPlatform whether there is a platform; otherwise a closed window counts as reported
     */
    public static UsageReporting of(HostId self, MeteringSettings settings, boolean hasPlatform) {
        return new UsageReporting(
                Objects.requireNonNull(self, "self"), UsageSchedule.of(settings), hasPlatform);
    }

    /**
     * Returns the next state and the actions to perform.
     *
     * @param state present state
     * @param input what has happened
     * @param nowNanos current monotonic time
     */
    public Decision<UsageState, UsageAction> step(
            UsageState state, UsageInput input, long nowNanos) {
        UsageStep step = new UsageStep(mSelf, mSchedule, mHasPlatform, state, nowNanos);
        if (input instanceof UsageInput.Tick tick) {
            step.tick(tick);
        } else if (input instanceof UsageInput.ReportReceived received) {
            step.receive(received.report());
        } else if (input instanceof UsageInput.ClockSampled sampled) {
            step.sample(sampled);
        } else if (input instanceof UsageInput.CallEnded ended) {
            step.endCall(ended);
        }
        return step.decision();
    }
}
