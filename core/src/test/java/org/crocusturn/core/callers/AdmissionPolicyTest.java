package org.crocusturn.core.callers;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import org.crocusturn.core.ErrorCode;
import org.crocusturn.core.Failure;
import org.crocusturn.core.Verdict;
import org.crocusturn.core.operators.RateLimit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against rejections of requests within the rate limit, and against queues of unbounded
 * length.
 */
class AdmissionPolicyTest {
    private static final AdmissionPolicy POLICY =
            AdmissionPolicy.firstOf(
                    QueueLimitAdmission.of(Duration.ofSeconds(2)),
                    WaitBudgetAdmission.of(Duration.ofSeconds(2)));

    @ParameterizedTest
    @CsvSource({
        "0, 0, 0, true",
        "0, 29, 1999, true",
        "5, 30, 0, false",
        "0, 0, 2000, false",
        "1, 0, 2000, true"
    })
    void rejectsRequestsBeyondTheLimits(
            long tokens, int queued, long waitedMillis, boolean admitted) {
        AdmissionPolicy.Load load =
                new AdmissionPolicy.Load(
                        new RateLimit(10, 10), tokens, queued, waitedMillis * 1_000_000);
        assertEquals(admitted, POLICY.refusal(load).isEmpty());
        Failure failure = POLICY.refusal(load).orElse(null);
        if (!admitted) {
            assertEquals(ErrorCode.RATE_LIMITED, failure.code());
            assertEquals(Verdict.NOT_RUN, failure.verdict());
            assertEquals(true, failure.retryAfter().isPresent());
        }
    }
}
