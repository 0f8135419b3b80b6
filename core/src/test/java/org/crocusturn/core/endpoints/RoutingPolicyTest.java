package org.crocusturn.core.endpoints;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.LogPosition;
import org.crocusturn.core.callers.Role;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against reads from replicas that lag, are of another term or exceed the maximum age. */
class RoutingPolicyTest {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long ROUTED = 1_000 * NANOS_PER_MILLI;

    /** Term 2 began at index 50 and term 3 at index 100; the session requires position 3:110. */
    @ParameterizedTest
    @CsvSource({
        // replica term, position term, index, lag ms, in service, waited ms, route
        "3, 3, 110, 5, true, 0, ToReplica",
        "3, 3, 109, 5, true, 0, Wait",
        "3, 3, 109, 5, true, 20, ToPrimary",
        "3, 3, 109, 21, true, 0, ToPrimary",
        "3, 3, 109, 20, true, 19, Wait",
        "3, 3, 110, 5, false, 0, ToPrimary",
        "2, 2, 110, 5, true, 0, ToPrimary",
        "3, 2, 110, 5, true, 0, ToPrimary",
        "3, 1, 60, 5, true, 0, ToPrimary",
        "4, 3, 110, 5, true, 0, ToPrimary"
    })
    void followsTheSession(
            long term,
            long logTerm,
            long index,
            long lag,
            boolean inService,
            long waited,
            String route) {
        RoutingPolicy policy = SessionRouting.of(Duration.ofMillis(20));
        CopyView copy = copy(term, logTerm, index, lag, inService);
        assertEquals(route, name(policy.route(query(copy, ROUTED + waited * NANOS_PER_MILLI))));
    }

    @ParameterizedTest
    @CsvSource({
        // replica term, lag ms, status age ms, route for a maximum age of 5 s
        "3, 4000, 1000, ToReplica",
        "3, 4000, 1001, ToPrimary",
        "3, 5001, 0, ToPrimary",
        "2, 0, 0, ToPrimary",
        "3, 9223372036854775807, 0, ToPrimary"
    })
    void countsTheAgeOfTheObservation(long term, long lag, long seenAgo, String route) {
        RoutingPolicy policy = StatedAgeRouting.of(Duration.ofSeconds(5));
        CopyView copy = copy(term, 3, 101, lag, true);
        assertEquals(route, name(policy.route(query(copy, ROUTED + seenAgo * NANOS_PER_MILLI))));
    }

    private static CopyView copy(long term, long logTerm, long index, long lag, boolean inService) {
        CopyStatus status =
                new CopyStatus("db", Role.REPLICA, term, LogPosition.of(logTerm, index), lag);
        CopyLimits limits = CopyLimits.ofDatabase(2, 16);
        return new CopyView(EndpointId.of("e"), limits, inService, Optional.of(status), ROUTED);
    }

    private static RoutingPolicy.Query query(CopyView copy, long now) {
        TermHistory history = TermHistory.EMPTY.withTerm(1, 0).withTerm(2, 50).withTerm(3, 100);
        return new RoutingPolicy.Query(List.of(copy), history, LogPosition.of(3, 110), ROUTED, now);
    }

    private static String name(Route route) {
        return route.getClass().getSimpleName();
    }
}
