package org.crocusturn.core.endpoints;

import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.LogPosition;

/**
 * Chooses the copy to promote so that no acknowledged commit is lost.
 *
 * <p>A commit is acknowledged once a replica has received it, so at least two copies have it. A
 * candidate is safe if it has received all positions that the leaseholder knows to be acknowledged,
 * or if the positions of all copies but one are known and none of them is ahead of the candidate.
 */
public final class PromotionPlan {
    private PromotionPlan() {}

    /**
     * A copy of the group. A replica with a known position no longer receives log entries.
     *
     * @param endpoint endpoint of the copy
     * @param received last position in its log; empty if unknown
     * @param terminating whether the endpoint is about to shut down and lose its log
     * @param drained whether its data centre is drained
     */
    public record Candidate(
            EndpointId endpoint,
            Optional<LogPosition> received,
            boolean terminating,
            boolean drained) {
        /** Rejects null components. */
        public Candidate {
            Objects.requireNonNull(endpoint, "endpoint");
            Objects.requireNonNull(received, "received");
        }

        private LogPosition position() {
            return received.orElse(LogPosition.ZERO);
        }
    }

    /**
     * Returns the copy to promote, or empty if no candidate is safe yet.
     *
     * @param copies all copies, including the old primary without a position
     * @param acknowledged newest position that may have been acknowledged, if known
     */
    public static Optional<EndpointId> choose(
            List<Candidate> copies, Optional<LogPosition> acknowledged) {
        Comparator<Candidate> best =
                Comparator.<Candidate, Boolean>comparing(c -> !c.terminating())
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
        boolean hasAcknowledged =
                acknowledged.filter(p -> candidate.position().compareTo(p) >= 0).isPresent();
        boolean othersKnown = copies.stream().filter(c -> c.received().isEmpty()).count() <= 1;
        boolean isNewest =
                copies.stream().allMatch(c -> c.position().compareTo(candidate.position()) <= 0);
        return hasAcknowledged || othersKnown && isNewest;
    }
}
