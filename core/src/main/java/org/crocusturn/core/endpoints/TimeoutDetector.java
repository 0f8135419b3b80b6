package org.crocusturn.core.endpoints;

import java.time.Duration;
import java.util.Optional;

/**
 * Detects an endpoint that has not responded within a timeout. The monitor must poll at least three
 * times within the timeout.
 *
 * @param timeoutNanos time without a response after which the endpoint is considered failed
 */
public record TimeoutDetector(long timeoutNanos) implements FailureDetector {
    /** Creates a detector with a timeout in milliseconds. */
    public static TimeoutDetector ofMillis(long limitMillis) {
        return new TimeoutDetector(Duration.ofMillis(limitMillis).toNanos());
    }

    @Override
    public Optional<String> failure(EndpointHealth health, long watchedSinceNanos, long nowNanos) {
        long silence = nowNanos - Math.max(health.lastSeenNanos(), watchedSinceNanos);
        return silence >= timeoutNanos || health.timedOut()
                ? Optional.of("no response for " + millis(silence) + " ms")
                : Optional.empty();
    }

    private static long millis(long nanos) {
        return Duration.ofNanos(nanos).toMillis();
    }
}
