package org.crocusturn.core.endpoints;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.crocusturn.core.EndpointId;

/**
 * The control leader's view of an endpoint, derived from status observations. Immutable.
 *
 * @param endpoint the endpoint
 * @param seenNanos time of the last status, or time at which monitoring began if there was none
 * @param refused whether a connection was refused since the last status
 * @param silent whether a status request timed out since the last status
 * @param copies last known status of each database, by name
 */
public record EndpointHealth(
        EndpointId endpoint,
        long seenNanos,
        boolean refused,
        boolean silent,
        Map<String, CopyStatus> copies) {
    /** Takes defensive copies of the statuses. */
    public EndpointHealth {
        Objects.requireNonNull(endpoint, "endpoint");
        copies = Map.copyOf(copies);
    }

    /** Creates the health of an endpoint without any observation. */
    public static EndpointHealth unknown(EndpointId endpoint, long nowNanos) {
        return new EndpointHealth(endpoint, nowNanos, false, false, Map.of());
    }

    /** Returns the last known status of a database. */
    public Optional<CopyStatus> copy(String database) {
        return Optional.ofNullable(copies.get(database));
    }

    /** Returns the health after an observation. */
    public EndpointHealth with(EndpointObservation observation, long nowNanos) {
        if (observation instanceof EndpointObservation.Seen seen) {
            return new EndpointHealth(
                    endpoint,
                    nowNanos,
                    false,
                    false,
                    seen.copies().stream()
                            .collect(
                                    Collectors.toMap(
                                            CopyStatus::database,
                                            Function.identity(),
                                            (a, b) -> b)));
        }
        boolean refusal = observation instanceof EndpointObservation.ConnectionRefused;
        return new EndpointHealth(
                endpoint, seenNanos, refused || refusal, silent || !refusal, copies);
    }

    /** Returns the health after a command response, which does not update the last-seen time. */
    public EndpointHealth withStatus(CopyStatus status) {
        Map<String, CopyStatus> all = new HashMap<>(copies);
        all.put(status.database(), status);
        return new EndpointHealth(endpoint, seenNanos, refused, silent, all);
    }
}
