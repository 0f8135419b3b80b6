package org.crocusturn.core.endpoints;

import java.util.Optional;

/** Finds an endpoint whose process is gone: it refused two connections in a row. */
public final class RefusedConnectionDetector implements FailureDetector {
    @Override
    public Optional<String> failure(EndpointHealth health, long watchedSinceNanos, long nowNanos) {
        return health.refused() ? Optional.of("it refuses connections") : Optional.empty();
    }
}
