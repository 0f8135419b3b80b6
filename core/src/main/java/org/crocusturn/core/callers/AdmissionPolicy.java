package org.crocusturn.core.callers;

import java.util.Optional;
import org.crocusturn.core.Failure;
import org.crocusturn.core.operators.RateLimit;

/** Decides at the leaseholder whether a request may start or go on waiting. */
public interface AdmissionPolicy {
    /**
     * Returns why a request is refused, or nothing if it is admitted.
     *
     * @param load situation of the request's workspace
     */
    Optional<Failure> refusal(Load load);

    /**
     * Describes one workspace at the arrival of a request, or after it waited.
     *
     * @param limit rate and burst of the workspace
     * @param tokens rate tokens that can be spent now
     * @param queued requests of the workspace that wait, without the one in question
     * @param waitedNanos time that the request has waited, in nanoseconds
     */
    record Load(RateLimit limit, long tokens, int queued, long waitedNanos) {}

    /** Returns a policy that refuses with the first refusal of several policies. */
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
