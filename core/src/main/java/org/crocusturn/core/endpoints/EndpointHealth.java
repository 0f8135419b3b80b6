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
 * @param lastSeenNanos time of the last status, or time at which monitoring began if there was none
 * @param connectionRefused whether a connection was refused since the last status
 * @param timedOut whether a status request timed out since the last status
 * @param copies last known status of each database, by name
 */
public record EndpointHealth(
        EndpointId endpoint,
        long lastSeenNanos,
        boolean connectionRefused,
        boolean timedOut,
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
        if (observation instanceof EndpointObservation.StatusReceived received) {
            return new EndpointHealth(
                    endpoint,
                    nowNanos,
                    false,
                    false,
                    received.copies().stream()
                            .collect(
                                    Collectors.toMap(
                                            CopyStatus::database,
                                            Function.identity(),
                                            (a, b) -> b)));
        }
        boolean refusal = observation instanceof EndpointObservation.ConnectionRefused;
        return new EndpointHealth(
                endpoint,
                lastSeenNanos,
                connectionRefused || refusal,
                timedOut || !refusal,
                copies);
    }

    /** Returns the health after a command response, which does not update the last-seen time. */
    public EndpointHealth withStatus(CopyStatus status) {
        Map<String, CopyStatus> all = new HashMap<>(copies);
        all.put(status.database(), status);
        return new EndpointHealth(endpoint, lastSeenNanos, connectionRefused, timedOut, all);
    }
}
