package org.crocusturn.core.callers;

import java.time.Duration;
import java.util.Optional;
import org.crocusturn.core.ErrorCode;
import org.crocusturn.core.Failure;

/** Rejects a request that has waited for a rate token for longer than the wait budget. */
public final class WaitBudgetAdmission implements AdmissionPolicy {
    private final Duration mWaitBudget;

    private WaitBudgetAdmission(Duration waitBudget) {
        mWaitBudget = waitBudget;
    }

    /** Creates the policy for a wait budget. */
    public static WaitBudgetAdmission of(Duration waitBudget) {
        return new WaitBudgetAdmission(waitBudget);
    }

    @Override
    public Optional<Failure> refusal(Load load) {
        if (load.tokens() > 0 || load.waitedNanos() < mWaitBudget.toNanos()) {
            return Optional.empty();
        }
        long retryAfterMillis =
                (long) Math.ceil(1_000 * (load.queued() + 1) / load.limit().perSecond());
        return Optional.of(
                Failure.notRun(
                                ErrorCode.RATE_LIMITED,
                                "no rate token became available within "
                                        + mWaitBudget.toMillis()
                                        + " ms")
                        .withRetryAfter(Duration.ofMillis(retryAfterMillis)));
    }
}
