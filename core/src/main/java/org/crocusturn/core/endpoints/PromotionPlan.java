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
 * <p>A commit is acknowledged once a replica has received it, so at least two copies have it,
 * unless one of them has left since ({@link ReplicaCoverage}). A candidate is safe if it has
 * received all positions that the leaseholder knows to be acknowledged. It is also safe if the
 * positions of all copies but one are known, none of them is ahead of the candidate, and the
 * candidate has what the remaining copy may be the only one to have. If the positions of all copies
 * are known, waiting could not preserve more, and the newest copy is promoted. Copies that have not
 * announced themselves count as copies with an unknown position.
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
     * @param copies all announced copies, including the old primary without a position
     * @param missing number of other copies that the group may have
     * @param acknowledged newest position that may have been acknowledged, if known
     * @param coverage what the old primary may be the only copy to have
     */
    public static Optional<EndpointId> choose(
            List<Candidate> copies,
            int missing,
            Optional<LogPosition> acknowledged,
            ReplicaCoverage coverage) {
        Comparator<Candidate> best =
                Comparator.<Candidate, Boolean>comparing(c -> !c.terminating())
                        .thenComparing(Candidate::position)
                        .thenComparing(Candidate::endpoint, Comparator.reverseOrder());
        return copies.stream()
                .filter(c -> c.received().isPresent() && !c.drained())
                .filter(c -> isSafe(c, copies, missing, acknowledged, coverage))
                .max(best)
                .map(Candidate::endpoint);
    }

    private static boolean isSafe(
            Candidate candidate,
            List<Candidate> copies,
            int missing,
            Optional<LogPosition> acknowledged,
            ReplicaCoverage coverage) {
        boolean hasAcknowledged =
                acknowledged.filter(p -> candidate.position().compareTo(p) >= 0).isPresent();
        long unknown = missing + copies.stream().filter(c -> c.received().isEmpty()).count();
        boolean othersKnown = unknown == 0 || unknown == 1 && coverage.covers(candidate.position());
        boolean isNewest =
                copies.stream().allMatch(c -> c.position().compareTo(candidate.position()) <= 0);
        return hasAcknowledged || othersKnown && isNewest;
    }
}
