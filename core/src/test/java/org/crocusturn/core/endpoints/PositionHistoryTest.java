package org.crocusturn.core.endpoints;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.Stream;
import org.crocusturn.core.LogPosition;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against reads that miss a commit older than their maximum age. */
class PositionHistoryTest {
    private static final long MS = 1_000_000;

    private static PositionHistory history() {
        return PositionHistory.startingAt(position(10), 1_000 * MS)
                .with(position(11), 1_100 * MS)
                .with(position(12), 1_200 * MS)
                .with(position(13), 1_202 * MS)
                .with(position(14), 1_300 * MS);
    }

    @ParameterizedTest
    @CsvSource({"900, 10", "1000, 10", "1099, 10", "1100, 11", "1200, 13", "1299, 13", "9999, 14"})
    void tellsThePositionOfATime(long atMillis, long index) {
        assertEquals(position(index), history().asOf(atMillis * MS));
    }

    /** Guards against merged entries that take the later of their acknowledgement times. */
    @Test
    void neverTellsTooOldAPosition() {
        PositionHistory history = PositionHistory.startingAt(position(1), 0);
        for (long i = 2; i < 2_000; i++) {
            history = history.with(position(i), i * MS);
            assertTrue(history.asOf(i * MS).compareTo(position(i)) >= 0, "at " + i);
            assertEquals(position(i), history.latest());
        }
        assertTrue(history.entries().size() < 500, "too many entries: " + history.entries().size());
    }

    static Stream<Arguments> progress() {
        return Stream.of(
                Arguments.of("the copy has the position", 14L, 0L, 1_300L, true),
                Arguments.of("the commit is more recent than the lag", 10L, 300L, 1_310L, false),
                Arguments.of("the commit is older than the lag", 10L, 50L, 1_400L, true));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("progress")
    void predictsArrival(String what, long index, long lagMillis, long nowMillis, boolean reaches) {
        CopyProgress copy = new CopyProgress(position(index), lagMillis * MS, nowMillis * MS);
        assertEquals(reaches, copy.reaches(position(14), history(), nowMillis * MS), what);
    }

    @Test
    void countsAGrowingLagAtOnce() {
        CopyProgress copy = CopyProgress.UNKNOWN.with(position(10), history(), 1_400 * MS);
        assertEquals(300 * MS, copy.lagNanos());
        assertTrue(copy.with(position(14), history(), 1_401 * MS).lagNanos() < 300 * MS);
    }

    /**
     * Guards against a replica that gets no more reads after it lagged. In a simulated day of the
     * Delft site two replicas lagged for 6 s, and reads overloaded the primary for the next 25 s.
     */
    @ParameterizedTest
    @CsvSource({"3000, 100, false", "3000, 400, false", "3000, 1000, true", "12000, 2000, true"})
    void triesACopyAgainThatLagged(long ageMillis, long laterMillis, boolean tried) {
        long now = 20_000 + laterMillis;
        PositionHistory history = PositionHistory.startingAt(position(1), 0);
        for (long i = 2; i <= now / 100; i++) {
            history = history.with(position(i), i * 100 * MS);
        }
        CopyProgress copy = CopyProgress.UNKNOWN.withLacking(ageMillis * MS, 20_000 * MS);
        LogPosition needed = history.asOf((now - 1_500) * MS);
        assertEquals(tried, copy.reaches(needed, history, now * MS));
    }

    private static LogPosition position(long index) {
        return LogPosition.of(2, index);
    }
}
