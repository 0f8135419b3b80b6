package org.crocusturn.core.callers;

import java.time.Duration;
import java.util.Optional;
import org.crocusturn.core.ErrorCode;
import org.crocusturn.core.Failure;

/** Rejects a request when its workspace already has burst + rate x wait budget waiting requests. */
public final class QueueLimitAdmission implements AdmissionPolicy {
    private final double mWaitBudgetSeconds;

    private QueueLimitAdmission(Duration waitBudget) {
        mWaitBudgetSeconds = waitBudget.toNanos() / 1e9;
    }

    /**
     * Creates the policy for a wait budget. Requests beyond the limit could not start within the
     * budget.
     */
    public static QueueLimitAdmission of(Duration waitBudget) {
        return new QueueLimitAdmission(waitBudget);
    }

    @Override
    public Optional<Failure> refusal(Load load) {
        double maxQueued = load.limit().burst() + load.limit().perSecond() * mWaitBudgetSeconds;
        if (load.queued() < maxQueued) {
            return Optional.empty();
        }
        return Optional.of(
                Failure.notRun(
                                ErrorCode.RATE_LIMITED,
                                "the workspace has " + load.queued() + " waiting requests")
                        .withRetryAfter(Duration.ofMillis((long) (mWaitBudgetSeconds * 1_000))));
    }
}
