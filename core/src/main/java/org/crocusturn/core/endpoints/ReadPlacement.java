package org.crocusturn.core.endpoints;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.crocusturn.core.EndpointId;

/**
 * Selects the copy that runs a read.
 *
 * <p>A read goes to a home of its workspace, see {@link ConnectionPlan}. Another copy runs it if
 * the workspace has an idle connection there, or if all homes are full and the wait for a slot
 * would take longer than opening a connection.
 *
 * <p>Designed for read-heavy loads on copies with few statement slots: reads are distributed over
 * all copies with the primary as the last choice, since only the primary can run writes. A copy
 * that lacks the required position would occupy a slot while it waits, so it is chosen only if no
 * copy has caught up.
 */
public final class ReadPlacement {
    private static final double PRIMARY_COST = 0.4;
    private static final double CONNECT_COST = 0.3;
    private static final double OTHER_DATA_CENTRE_COST = 0.05;

    private ReadPlacement() {}

    /**
     * A copy that is up and can run the read.
     *
     * @param endpoint the copy
     * @param primary whether it is the primary
     * @param running number of running statements
     * @param slots maximum number of concurrent statements
     * @param connected whether the workspace has an idle connection to it
     * @param caughtUp whether it has reached the position that the read requires
     * @param sameDataCentre whether it is in the same data centre as the leaseholder
     * @param home whether it is a home of the reads of the workspace
     * @param vacant whether the workspace has no connection to it
     */
    public record Candidate(
            EndpointId endpoint,
            boolean primary,
            int running,
            int slots,
            boolean connected,
            boolean caughtUp,
            boolean sameDataCentre,
            boolean home,
            boolean vacant) {
        /** Creates a candidate for a workspace without homes. */
        public Candidate(
                EndpointId endpoint,
                boolean primary,
                int running,
                int slots,
                boolean connected,
                boolean caughtUp,
                boolean sameDataCentre) {
            this(
                    endpoint,
                    primary,
                    running,
                    slots,
                    connected,
                    caughtUp,
                    sameDataCentre,
                    false,
                    !connected);
        }

        private double cost() {
            return (double) running / Math.max(1, slots)
                    + (primary ? PRIMARY_COST : 0)
                    + (connected ? 0 : CONNECT_COST)
                    + (sameDataCentre ? 0 : OTHER_DATA_CENTRE_COST);
        }
    }

    /**
     * Returns the copy that should run a read, or empty if it should wait for a slot.
     *
     * @param candidates copies that are up, including those without a free slot
     * @param waitIsLong whether a slot of a home is expected later than a new connection elsewhere
     */
    public static Optional<EndpointId> choose(List<Candidate> candidates, boolean waitIsLong) {
        boolean anyCaughtUp = candidates.stream().anyMatch(Candidate::caughtUp);
        List<Candidate> able =
                candidates.stream().filter(o -> o.caughtUp() || !anyCaughtUp).toList();
        boolean hasHome = able.stream().anyMatch(Candidate::home);
        return Stream.<Predicate<Candidate>>of(
                        o -> !hasHome || o.home() && (o.connected() || o.vacant()),
                        Candidate::connected,
                        Candidate::home,
                        o -> waitIsLong)
                .flatMap(
                        test ->
                                able.stream()
                                        .filter(o -> o.running() < o.slots())
                                        .filter(test)
                                        .min(Comparator.comparingDouble(Candidate::cost))
                                        .stream())
                .map(Candidate::endpoint)
                .findFirst();
    }
}
