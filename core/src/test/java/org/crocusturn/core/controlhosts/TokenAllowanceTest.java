package org.crocusturn.core.controlhosts;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Optional;
import org.crocusturn.core.operators.RateLimit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against tokens that are spent twice or after their expiry. */
class TokenAllowanceTest {
    private static final long MILLI = 1_000_000;

    @ParameterizedTest
    @CsvSource({"0, 5", "99, 5", "100, 3", "199, 3", "200, 0"})
    void spendsWhatIsValid(long nowMillis, int expected) {
        // A monotonic clock may have any origin, even a very negative one.
        long base = Long.MIN_VALUE / 2;
        TokenAllowance allowance =
                TokenAllowance.empty()
                        .withGrant(3, base + 200 * MILLI)
                        .withGrant(2, base + 100 * MILLI);
        long now = base + nowMillis * MILLI;
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
    void wantsTokensAheadOfDemand(long periodMillis, int waiting, long least, long most) {
        TokenAllowance allowance = TokenAllowance.empty();
        long now = 0;
        for (int i = 0; periodMillis > 0 && i < 5_000 / periodMillis; i++) {
            now += periodMillis * MILLI;
            allowance = allowance.withArrival(now);
        }
        long wanted = allowance.wanted(waiting, now);
        assertEquals(true, wanted >= least && wanted <= most, "wanted " + wanted);
        assertEquals(waiting, allowance.wanted(waiting, now + 60_000 * MILLI));
    }

    /**
     * Guards against hosts that hold the whole burst of a workspace whose rate was lowered while
     * other hosts refuse its requests.
     */
    @ParameterizedTest
    @CsvSource({"88, 3", "30, 3", "20, 2", "9, 0", "1, 0"})
    void holdsLittleOfASmallBurst(long burst, long expected) {
        assertEquals(expected, TokenAllowance.least(new RateLimit(burst, burst)));
    }
}
