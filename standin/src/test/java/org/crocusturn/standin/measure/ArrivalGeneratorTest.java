package org.crocusturn.standin.measure;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

final class ArrivalGeneratorTest {
    private static final Map<String, Double> RATES = Map.of("a", 60.0, "b", 7.5, "c", 120.0);

    /** Guards against a load that is not reproducible or does not depend on its seed. */
    @ParameterizedTest
    @ValueSource(longs = {0, 1, 77})
    void sameSeedGivesSameArrivals(long seed) {
        Duration length = Duration.ofSeconds(5);
        List<Arrival> first =
                new ArrivalGenerator(seed, 6, RequestMix.READ_MOSTLY).poisson(RATES, length);
        assertEquals(
                first,
                new ArrivalGenerator(seed, 6, RequestMix.READ_MOSTLY).poisson(RATES, length));
        assertNotEquals(
                first,
                new ArrivalGenerator(seed + 1, 6, RequestMix.READ_MOSTLY).poisson(RATES, length));
        assertEquals(
                first, first.stream().sorted(Comparator.comparing(Arrival::dueNanos)).toList());
        assertEquals(6, first.stream().mapToInt(Arrival::entryHost).distinct().count());
    }

    /** Guards against bursts that send more or fewer requests than the rate. */
    @ParameterizedTest
    @CsvSource({"57, 4000, 1000", "4.75, 20000, 1000", "114, 3000, 500"})
    void burstsKeepTheRate(double rate, long lengthMillis, long periodMillis) {
        List<Arrival> arrivals =
                new ArrivalGenerator(1, 6, RequestMix.READ_MOSTLY)
                        .bursts(
                                Map.of("a", rate),
                                Duration.ofMillis(lengthMillis),
                                Duration.ofMillis(periodMillis));
        long[] times = arrivals.stream().mapToLong(Arrival::dueNanos).toArray();
        assertEquals((long) (rate * lengthMillis / 1000), times.length);
        int most = SlidingWindow.maxCount(times, 0);
        double perPeriod = rate * periodMillis / 1000;
        assertTrue(most >= perPeriod - 1 && most <= perPeriod + 1, most + " at once");
        int inTwo = SlidingWindow.maxCount(times, Duration.ofMillis(periodMillis).toNanos());
        assertTrue(inTwo <= 2 * perPeriod + 1, inTwo + " in two periods");
    }
}
