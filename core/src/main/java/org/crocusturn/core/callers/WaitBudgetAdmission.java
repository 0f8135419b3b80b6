package org.crocusturn.core.callers;

import java.time.Duration;
import java.util.Optional;
import org.crocusturn.core.ErrorCode;
import org.crocusturn.core.Failure;

/** Rejects a request that has waited for a rate token for longer than the wait budget. */
public final class WaitBudgetAdmission implements AdmissionPolicy {
    private final Duration mBudget;

    private WaitBudgetAdmission(Duration budget) {
        mBudget = budget;
    }

    /** Creates the policy for a wait budget. */
    public static WaitBudgetAdmission of(Duration budget) {
        return new WaitBudgetAdmission(budget);
    }

    @Override
    public Optional<Failure> refusal(Load load) {
        if (load.tokens() > 0 || load.waitedNanos() < mBudget.toNanos()) {
            return Optional.empty();
        }
        long millis = (long) Math.ceil(1_000 * (load.queued() + 1) / load.limit().perSecond());
        return Optional.of(
                Failure.notRun(
                                ErrorCode.RATE_LIMITED,
                                "no rate token became available within "
                                        + mBudget.toMillis()
                                        + " ms")
                        .withRetryAfter(Duration.ofMillis(millis)));
    }
}
