package org.crocusturn.standin.measure;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

final class SlidingWindowTest {
    private static final long SECOND = 1_000_000_000;

    static Stream<Arguments> admissionTimes() {
        long[] constantRate = LongStream.range(0, 100).map(n -> n * SECOND / 10).toArray();
        long[] burst =
                LongStream.concat(LongStream.of(constantRate), repeated(4 * SECOND + 1, 25))
                        .toArray();
        long[] atBothEnds = LongStream.concat(repeated(0, 16), repeated(SECOND, 15)).toArray();
        return Stream.of(
                Arguments.of("constant rate", constantRate, 11, false),
                Arguments.of("burst of 25 on top of the constant rate", burst, 36, true),
                Arguments.of(
                        "one request too many, all at the two ends of the window",
                        atBothEnds,
                        31,
                        true),
                Arguments.of("no requests", new long[0], 0, false));
    }

    /** Guards against missing a window with more requests than the rate and burst allow. */
    @ParameterizedTest(name = "{0}")
    @MethodSource("admissionTimes")
    void findsViolation(String name, long[] times, int maxCount, boolean violated) {
        assertEquals(maxCount, SlidingWindow.maxCount(times, SECOND));
        assertEquals(violated, maxCount > SlidingWindow.allowedCount(10, 20, SECOND));
    }

    private static LongStream repeated(long time, int count) {
        return LongStream.generate(() -> time).limit(count);
    }
}
