package org.crocusturn.core.entryhosts;

import java.util.Optional;
import org.crocusturn.core.ErrorCode;
import org.crocusturn.core.Failure;
import org.crocusturn.core.Verdict;
import org.crocusturn.core.operators.Leaseholder;

/**
 * Decides whether an entry host sends a call to the leaseholder, lets it wait or refuses it.
 *
 * <p>Answers the load of thousands of sessions whose leaseholders are off, suspended or cut off for
 * 0.1 to 4 s. A call that is refused at once, as not run, can be retried on another host within its
 * deadline; one that is held and then refused is lost. A call that was never sent never ends with a
 * time-out, because nothing but this host can have delayed it. All methods are pure.
 */
public final class CallDecisions {
    private CallDecisions() {}

    /** What becomes of a call that is not with a leaseholder. */
    public sealed interface Step {
        /** The call is sent. */
        record Send(Leaseholder leaseholder) implements Step {}

        /** The call waits. */
        record Hold() implements Step {}

        /** The call ends. */
        record Refuse(Failure failure) implements Step {}
    }

    /**
     * Decides about a call that is not with a leaseholder.
     *
     * @param call the call
     * @param group leaseholder of its group
     * @param evidence evidence about this leaseholder; empty if it runs in this process
     * @param nowNanos current time
     */
    public static Step decideUnsent(
            WaitingCall call,
            GroupService group,
            Optional<LeaseholderEvidence> evidence,
            long nowNanos) {
        if (group.leaseholder().isEmpty()) {
            return holdSince(
                    earlier(call.sinceNanos(), group.sinceNanos()),
                    call,
                    "the group has no leaseholder",
                    group.sinceNanos(),
                    nowNanos);
        }
        Leaseholder leaseholder = group.leaseholder().get();
        long leaseEnd = evidence.map(LeaseholderEvidence::leaseEndNanos).orElse(nowNanos);
        if (leaseholder.epoch() == call.excludedEpoch()) {
            return holdSince(
                    call.sinceNanos(), call, "the group changes hosts", leaseEnd, nowNanos);
        }
        if (evidence.isEmpty()) {
            return new Step.Send(leaseholder);
        }
        LeaseholderEvidence known = evidence.get();
        return switch (known.link()) {
            case CONNECTING ->
                    holdSince(
                            earlier(call.sinceNanos(), known.lastBytesNanos()),
                            call,
                            "the link to the leaseholder is not open yet",
                            leaseEnd,
                            nowNanos);
            case LOST ->
                    holdIfSent(call, "there is no link to the leaseholder", leaseEnd, nowNanos);
            case OPEN ->
                    known.isSilent(nowNanos)
                            ? holdIfSent(call, "the leaseholder is silent", leaseEnd, nowNanos)
                            : new Step.Send(leaseholder);
        };
    }

    /**
     * Returns the failure of a read that a leaseholder has not answered and that can wait no
     * longer. Its outcome is unknown: the leaseholder may run it when it resumes.
     */
    public static Optional<Failure> failureOfSentRead(
            WaitingCall call, LeaseholderEvidence evidence, long nowNanos) {
        boolean ends = evidence.isSilent(nowNanos) && isOver(call.sinceNanos(), call, nowNanos);
        return ends
                ? Optional.of(
                        failure(
                                call,
                                "the leaseholder is silent",
                                evidence.leaseEndNanos(),
                                nowNanos))
                : Optional.empty();
    }

    /** Returns the failure of a call that has waited in vain although its leaseholder answers. */
    public static Optional<Failure> failureOfUnsentCall(WaitingCall call, long nowNanos) {
        return isOver(call.sinceNanos(), call, nowNanos)
                ? Optional.of(failure(call, "the leaseholder accepts no calls", nowNanos, nowNanos))
                : Optional.empty();
    }

    /** A call that was sent before is not new: it waits for the next leaseholder. */
    private static Step holdIfSent(
            WaitingCall call, String reason, long serviceNanos, long nowNanos) {
        return call.sentBefore()
                ? holdSince(call.sinceNanos(), call, reason, serviceNanos, nowNanos)
                : new Step.Refuse(failure(call, reason, serviceNanos, nowNanos));
    }

    private static Step holdSince(
            long sinceNanos, WaitingCall call, String reason, long serviceNanos, long nowNanos) {
        return isOver(sinceNanos, call, nowNanos)
                ? new Step.Refuse(failure(call, reason, serviceNanos, nowNanos))
                : new Step.Hold();
    }

    private static boolean isOver(long sinceNanos, WaitingCall call, long nowNanos) {
        return nowNanos - sinceNanos >= call.holdNanos();
    }

    private static Failure failure(
            WaitingCall call, String message, long serviceNanos, long nowNanos) {
        Verdict verdict = call.sentBefore() ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN;
        return new Failure(
                ErrorCode.UNAVAILABLE,
                verdict,
                message,
                Optional.of(
                        RetryDelay.of(serviceNanos, nowNanos, call.priority(), call.session())));
    }

    private static long earlier(long first, long second) {
        return first - second < 0 ? first : second;
    }
}
