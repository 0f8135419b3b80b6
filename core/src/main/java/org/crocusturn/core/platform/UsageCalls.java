package org.crocusturn.core.platform;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * The calls of this process that report usage: which one is under way, when the next one may
 * follow, and what their answers have shown.
 *
 * <p>All times are monotonic, in nanoseconds. Immutable.
 *
 * @param open the call under way, if there is one
 * @param nextNanos time before which no further call is sent
 * @param refusedFence highest fencing number that the platform refused; 0 if it refused none
 * @param acceptedWindow window of the latest accepted report, if there was one
 */
public record UsageCalls(
        Optional<Call> open, long nextNanos, long refusedFence, Optional<Long> acceptedWindow) {
    /** Promotions have precedence among the 50 calls per second of all hosts. */
    static final long MIN_INTERVAL_NANOS = Duration.ofMillis(250).toNanos();

    /** Time after a call without a usable answer. */
    static final long RETRY_NANOS = Duration.ofMillis(300).toNanos();

    /** Time after a call that was refused because of too many calls. */
    static final long TOO_MANY_RETRY_NANOS = Duration.ofSeconds(1).toNanos();

    /** Rejects null components. */
    public UsageCalls {
        Objects.requireNonNull(open, "open");
        Objects.requireNonNull(acceptedWindow, "acceptedWindow");
    }

    /** A call that has not ended. */
    public record Call(long fence, long window, long sentNanos) {}

    static UsageCalls none(long nowNanos) {
        return new UsageCalls(Optional.empty(), nowNanos, 0, Optional.empty());
    }

    boolean permits(long fence, long nowNanos) {
        return open.isEmpty() && fence > refusedFence && nowNanos - nextNanos >= 0;
    }

    UsageCalls withCall(long fence, long window, long nowNanos) {
        return new UsageCalls(
                Optional.of(new Call(fence, window, nowNanos)),
                nowNanos + MIN_INTERVAL_NANOS,
                refusedFence,
                acceptedWindow);
    }

    /** Returns the calls after the one under way ended. */
    UsageCalls withEnd(UsageAnswer answer, long nowNanos) {
        Call ended = open.orElseThrow();
        return new UsageCalls(
                Optional.empty(),
                later(nextNanos, nowNanos + retryNanos(answer)),
                answer == UsageAnswer.REFUSED
                        ? Math.max(refusedFence, ended.fence())
                        : refusedFence,
                answer == UsageAnswer.ACCEPTED ? Optional.of(ended.window()) : acceptedWindow);
    }

    private static long later(long nanos, long otherNanos) {
        return nanos - otherNanos > 0 ? nanos : otherNanos;
    }

    private static long retryNanos(UsageAnswer answer) {
        return switch (answer) {
            case ACCEPTED, REFUSED -> 0;
            case LATER -> TOO_MANY_RETRY_NANOS;
            case UNKNOWN -> RETRY_NANOS;
        };
    }
}
