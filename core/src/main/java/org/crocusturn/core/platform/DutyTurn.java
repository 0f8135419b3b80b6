package org.crocusturn.core.platform;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * Decides when this host may call the platform for one subject of a duty, such as the promotions of
 * one group, so that hosts do not hold the duty by turns.
 *
 * <p>Holders have increasing fencing numbers. A host that has a higher number than in its own last
 * call may have lost the duty in between, and then waits until an interval after the end of that
 * call. A new holder waits in addition until the calls of its predecessor can no longer be carried
 * out, unless the platform refuses them. The memory of this process is enough, because the rule
 * does not apply to restarted processes.
 *
 * <p>All times are monotonic, in nanoseconds. Immutable.
 *
 * @param intervalNanos time in which two hosts must not hold the duty by turns
 * @param lateCallNanos time for which calls of an earlier holder may still be carried out; 0 where
 *     the platform refuses a lower fencing number than one it has seen
 * @param lastCall own latest call, if there was one
 */
public record DutyTurn(long intervalNanos, long lateCallNanos, Optional<Call> lastCall) {
    /** Rejects negative times. */
    public DutyTurn {
        Objects.requireNonNull(lastCall, "lastCall");
        if (intervalNanos < 0 || lateCallNanos < 0) {
            throw new IllegalArgumentException(
                    "times must not be negative: " + intervalNanos + ", " + lateCallNanos);
        }
    }

    /**
     * Calls with one fencing number.
     *
     * @param fence the number
     * @param open number of calls that have not ended
     * @param endNanos time at which the latest call began or ended
     */
    public record Call(long fence, int open, long endNanos) {
        /** Rejects a negative number of calls. */
        public Call {
            if (open < 0) {
                throw new IllegalArgumentException("open must not be negative, is " + open);
            }
        }
    }

    /**
     * Creates the turn of a subject that this process has not called for.
     *
     * @param interval time in which two hosts must not hold the duty by turns
     * @param lateCall time for which calls of an earlier holder may still be carried out; zero
     *     where the platform checks fencing numbers
     */
    public static DutyTurn of(Duration interval, Duration lateCall) {
        return new DutyTurn(interval.toNanos(), lateCall.toNanos(), Optional.empty());
    }

    /**
     * Returns whether a call may be sent now.
     *
     * @param fence fencing number of the call; 1 is the number of the first holder
     * @param heldSinceNanos time at which this host got the duty with this number
     * @param nowNanos current time
     */
    public boolean permits(long fence, long heldSinceNanos, long nowNanos) {
        if (lastCall.filter(call -> call.fence() == fence).isPresent()) {
            return true;
        }
        boolean predecessorOver = fence <= 1 || nowNanos - heldSinceNanos >= lateCallNanos;
        return predecessorOver && lastCall.filter(call -> bars(call, fence, nowNanos)).isEmpty();
    }

    private boolean bars(Call call, long fence, long nowNanos) {
        return call.fence() > fence
                || call.open() > 0
                || nowNanos - call.endNanos() < intervalNanos;
    }

    /** Returns the turn after a call was sent. */
    public DutyTurn withCall(long fence, long nowNanos) {
        int open = lastCall.filter(call -> call.fence() == fence).map(Call::open).orElse(0);
        return withLastCall(new Call(fence, open + 1, nowNanos));
    }

    /**
     * Returns the turn after a call ended, with or without an answer. The end of a call whose
     * number is not the latest one changes nothing.
     */
    public DutyTurn withEnd(long fence, long nowNanos) {
        return lastCall.filter(call -> call.fence() == fence && call.open() > 0)
                .map(call -> withLastCall(new Call(fence, call.open() - 1, nowNanos)))
                .orElse(this);
    }

    private DutyTurn withLastCall(Call call) {
        return new DutyTurn(intervalNanos, lateCallNanos, Optional.of(call));
    }
}
