package org.crocusturn.core.endpoints;

import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.LogPosition;

/**
 * Chooses the copy that becomes the primary, such that no acknowledged commit is lost.
 *
 * <p>A commit is acknowledged once one replica has received it, so two copies hold it. A candidate
 * is safe if it has received every position that the leaseholder knows to be acknowledged, or if
 * all copies but one have told their positions and none of these is ahead of it.
 */
public final class PromotionPlan {
    private PromotionPlan() {}

    /**
     * Is a copy; a replica that has answered was stopped from receiving.
     *
     * @param endpoint the replica
     * @param received last position in its log; empty if it has not answered
     * @param leaving whether it is about to end, and its log with it
     * @param drained whether its data centre is out of service
     */
    public record Candidate(
            EndpointId endpoint, Optional<LogPosition> received, boolean leaving, boolean drained) {
        /** Checks that no part is null. */
        public Candidate {
            Objects.requireNonNull(endpoint, "endpoint");
            Objects.requireNonNull(received, "received");
        }

        private LogPosition position() {
            return received.orElse(LogPosition.ZERO);
        }
    }

    /**
     * Returns the copy to promote, or empty if none is safe yet.
     *
     * @param copies all copies, the old primary without an answer
     * @param acknowledged newest position that may have been acknowledged, if that is known
     */
    public static Optional<EndpointId> choose(
            List<Candidate> copies, Optional<LogPosition> acknowledged) {
        Comparator<Candidate> best =
                Comparator.<Candidate, Boolean>comparing(c -> !c.leaving())
                        .thenComparing(Candidate::position)
                        .thenComparing(Candidate::endpoint, Comparator.reverseOrder());
        return copies.stream()
                .filter(c -> c.received().isPresent() && !c.drained())
                .filter(c -> isSafe(c, copies, acknowledged))
                .max(best)
                .map(Candidate::endpoint);
    }

    private static boolean isSafe(
            Candidate candidate, List<Candidate> copies, Optional<LogPosition> acknowledged) {
        boolean complete =
                acknowledged.filter(p -> candidate.position().compareTo(p) >= 0).isPresent();
        boolean told = copies.stream().filter(c -> c.received().isEmpty()).count() <= 1;
        boolean newest =
                copies.stream().allMatch(c -> c.position().compareTo(candidate.position()) <= 0);
        return complete || told && newest;
    }
}
