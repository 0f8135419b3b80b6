package org.crocusturn.core.controlhosts;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Optional;
import org.crocusturn.core.operators.RateLimit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against tokens that are spent twice or after their expiry. */
class TokenAllowanceTest {
    private static final long NANOS_PER_MILLI = 1_000_000;

    @ParameterizedTest
    @CsvSource({"0, 5", "99, 5", "100, 3", "199, 3", "200, 0"})
    void spendsOnlyValidTokens(long nowMillis, int expected) {
        // A monotonic clock may have any origin, even a very negative one.
        long base = Long.MIN_VALUE / 2;
        TokenAllowance allowance =
                TokenAllowance.empty()
                        .withGrant(3, base + 200 * NANOS_PER_MILLI)
                        .withGrant(2, base + 100 * NANOS_PER_MILLI);
        long now = base + nowMillis * NANOS_PER_MILLI;
        assertEquals(expected, allowance.available(now));
        int spent = 0;
        Optional<TokenAllowance> next = allowance.spend(now);
        while (next.isPresent()) {
            allowance = next.get();
            next = allowance.spend(now);
            spent++;
        }
        assertEquals(expected, spent);
        assertEquals(expected, allowance.spentTotal());
    }

    /**
     * Guards against refusals while the control leader changes: the tokens requested in advance
     * must last for a report interval and an election, 0.8 s.
     */
    @ParameterizedTest
    @CsvSource({"0, 7, 7, 7", "10, 0, 75, 85", "10, 5, 80, 90", "50, 0, 14, 18"})
    void requestsTokensInAdvance(long periodMillis, int waiting, long minimum, long maximum) {
        TokenAllowance allowance = TokenAllowance.empty();
        long now = 0;
        for (int i = 0; periodMillis > 0 && i < 5_000 / periodMillis; i++) {
            now += periodMillis * NANOS_PER_MILLI;
            allowance = allowance.withArrival(now);
        }
        long wanted = allowance.wanted(waiting, now);
        assertEquals(true, wanted >= minimum && wanted <= maximum, "wanted " + wanted);
        assertEquals(waiting, allowance.wanted(waiting, now + 60_000 * NANOS_PER_MILLI));
    }

    /**
     * Guards against hosts that hold the whole burst of a workspace whose rate was lowered while
     * other hosts refuse its requests.
     */
    @ParameterizedTest
    @CsvSource({"88, 3", "30, 3", "20, 2", "9, 0", "1, 0"})
    void limitsIdleTokensToPartOfBurst(long burst, long expected) {
        assertEquals(expected, TokenAllowance.idleTokens(new RateLimit(burst, burst)));
    }
}
