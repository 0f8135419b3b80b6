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

final class ArrivalPlanTest {
    private static final Map<String, Double> RATES = Map.of("a", 60.0, "b", 7.5, "c", 120.0);

    /** Guards against a load that cannot be repeated, or that ignores its seed. */
    @ParameterizedTest
    @ValueSource(longs = {0, 1, 77})
    void sameSeedGivesSameArrivals(long seed) {
        Duration length = Duration.ofSeconds(5);
        List<Arrival> first = new ArrivalPlan(seed, 6, Mix.USUAL).poisson(RATES, length);
        assertEquals(first, new ArrivalPlan(seed, 6, Mix.USUAL).poisson(RATES, length));
        assertNotEquals(first, new ArrivalPlan(seed + 1, 6, Mix.USUAL).poisson(RATES, length));
        assertEquals(first, first.stream().sorted(Comparator.comparing(Arrival::atNanos)).toList());
        assertEquals(6, first.stream().mapToInt(Arrival::entry).distinct().count());
    }

    /** Guards against bursts that send more than the rate allows, or less. */
    @ParameterizedTest
    @CsvSource({"57, 4000, 1000", "4.75, 20000, 1000", "114, 3000, 500"})
    void burstsKeepTheRate(double rate, long lengthMillis, long periodMillis) {
        List<Arrival> arrivals =
                new ArrivalPlan(1, 6, Mix.USUAL)
                        .bursts(
                                Map.of("a", rate),
                                Duration.ofMillis(lengthMillis),
                                Duration.ofMillis(periodMillis));
        long[] times = arrivals.stream().mapToLong(Arrival::atNanos).toArray();
        assertEquals((long) (rate * lengthMillis / 1000), times.length);
        int most = WindowCheck.most(times, 0);
        double perPeriod = rate * periodMillis / 1000;
        assertTrue(most >= perPeriod - 1 && most <= perPeriod + 1, most + " at once");
        int inTwo = WindowCheck.most(times, Duration.ofMillis(periodMillis).toNanos());
        assertTrue(inTwo <= 2 * perPeriod + 1, inTwo + " in two periods");
    }
}
