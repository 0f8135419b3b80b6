package org.crocusturn.standin.measure;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.OptionalLong;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

final class IntervalsTest {
    static Stream<Arguments> intervals() {
        return Stream.of(
                Arguments.of(
                        "interval that spans the fault", new long[] {1, 5, 9, 40, 41}, 10, 31L),
                Arguments.of("unsorted times", new long[] {41, 9, 40, 1, 5}, 10, 31L),
                Arguments.of(
                        "several intervals that end after the fault",
                        new long[] {1, 12, 60},
                        10,
                        48L),
                Arguments.of("longer interval before the fault", new long[] {0, 90, 95}, 92, 5L),
                Arguments.of("no write after the fault", new long[] {1, 5, 9}, 10, null),
                Arguments.of("single write, after the fault", new long[] {30}, 10, null));
    }

    /** Guards against a failover gap that is too short or lies entirely before the fault. */
    @ParameterizedTest(name = "{0}")
    @MethodSource("intervals")
    void findsLongestIntervalAfterFault(String name, long[] times, long fault, Long longest) {
        OptionalLong expected = longest == null ? OptionalLong.empty() : OptionalLong.of(longest);
        assertEquals(expected, Intervals.longest(times, fault, Long.MAX_VALUE));
    }
}
