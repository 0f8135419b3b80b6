package org.crocusturn.core.endpoints;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a load that is reported too low, too high, or after it has ended. */
class CallRateTest {
    @ParameterizedTest
    @CsvSource({"0, 0, 0", "100, 0, 100", "1000, 0, 1000", "1000, 2000, 368", "1000, 20000, 0"})
    void followsTheCalls(int perSecond, long idleMillis, int expected) {
        long seconds = 20;
        long interval = perSecond == 0 ? 0 : Duration.ofSeconds(1).toNanos() / perSecond;
        CallRate rate =
                LongStream.range(0, seconds * perSecond)
                        .boxed()
                        .reduce(
                                CallRate.NONE,
                                (r, n) -> r.withCall(n * interval),
                                (first, second) -> second);
        long end = Duration.ofSeconds(seconds).plusMillis(idleMillis).toNanos();
        assertEquals(expected, rate.perSecond(end), 1 + expected / 100.0);
    }
}
