package org.crocusturn.core.callers;

import java.util.Optional;
import org.crocusturn.core.Failure;
import org.crocusturn.core.operators.RateLimit;

/** Decides at the leaseholder whether a request may start or keep waiting. */
public interface AdmissionPolicy {
    /**
     * Returns the reason for rejecting a request, or empty if it is admitted.
     *
     * @param load load of the request's workspace
     */
    Optional<Failure> refusal(Load load);

    /**
     * The load of one workspace when a request arrives, or after it has waited.
     *
     * @param limit rate and burst of the workspace
     * @param tokens rate tokens that are available now
     * @param queued number of waiting requests of the workspace, without this one
     * @param waitedNanos time that the request has waited, in nanoseconds
     */
    record Load(RateLimit limit, long tokens, int queued, long waitedNanos) {}

    /** Returns a policy that applies several policies in order and returns the first rejection. */
    static AdmissionPolicy firstOf(AdmissionPolicy... policies) {
        return load -> {
            for (AdmissionPolicy policy : policies) {
                Optional<Failure> refusal = policy.refusal(load);
                if (refusal.isPresent()) {
                    return refusal;
                }
            }
            return Optional.empty();
        };
    }
}
