package org.crocusturn.core.endpoints;

import java.util.List;
import java.util.Optional;

/** Decides whether an endpoint has failed; implementations are pure. */
public interface FailureDetector {
    /**
     * Returns why an endpoint is considered failed, as a short phrase, or empty if it is not.
     *
     * @param health last known state of the endpoint
     * @param watchedSinceNanos time since which the leader has monitored endpoints without
     *     interruption
     * @param nowNanos current time
     */
    Optional<String> failure(EndpointHealth health, long watchedSinceNanos, long nowNanos);

    /** Returns the default detector: refused connections, or no response for 900 ms. */
    static FailureDetector standard() {
        return anyOf(List.of(new RefusedConnectionDetector(), TimeoutDetector.ofMillis(900)));
    }

    /** Returns a detector that reports the first failure found by the given detectors. */
    static FailureDetector anyOf(List<FailureDetector> detectors) {
        List<FailureDetector> copy = List.copyOf(detectors);
        return (health, watchedSince, now) ->
                copy.stream()
                        .map(d -> d.failure(health, watchedSince, now))
                        .flatMap(Optional::stream)
                        .findFirst();
    }
}
