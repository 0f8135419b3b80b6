package org.crocusturn.core.endpoints;

import java.util.List;
import java.util.Optional;

/** Decides whether an endpoint has failed; implementations are pure. */
public interface FailureDetector {
    /**
     * Returns why an endpoint counts as failed, as a short phrase, or empty if it does not.
     *
     * @param health what is known of the endpoint
     * @param watchedSinceNanos time since which the leader has watched without a pause of its own
     * @param nowNanos current time
     */
    Optional<String> failure(EndpointHealth health, long watchedSinceNanos, long nowNanos);

    /** Returns the detectors of the design: a refused connection, or silence of 900 ms. */
    static FailureDetector standard() {
        return anyOf(List.of(new RefusedConnectionDetector(), SilenceDetector.ofMillis(900)));
    }

    /** Returns a detector that reports the first failure that any of the given ones finds. */
    static FailureDetector anyOf(List<FailureDetector> detectors) {
        List<FailureDetector> copy = List.copyOf(detectors);
        return (health, watchedSince, now) ->
                copy.stream()
                        .map(d -> d.failure(health, watchedSince, now))
                        .flatMap(Optional::stream)
                        .findFirst();
    }
}
