package org.crocusturn.core.endpoints;

import java.util.Optional;

/** Detects an endpoint whose process is gone by two consecutive refused connections. */
public final class RefusedConnectionDetector implements FailureDetector {
    @Override
    public Optional<String> failure(EndpointHealth health, long watchedSinceNanos, long nowNanos) {
        return health.connectionRefused()
                ? Optional.of("connections are refused")
                : Optional.empty();
    }
}
