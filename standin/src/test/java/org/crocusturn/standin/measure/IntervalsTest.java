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
                Arguments.of("interval over the cause", new long[] {1, 5, 9, 40, 41}, 10, 31L),
                Arguments.of("answers out of order", new long[] {41, 9, 40, 1, 5}, 10, 31L),
                Arguments.of("writes that end after the cause", new long[] {1, 12, 60}, 10, 48L),
                Arguments.of("long interval before the cause", new long[] {0, 90, 95}, 92, 5L),
                Arguments.of("no write after the cause", new long[] {1, 5, 9}, 10, null),
                Arguments.of("no write before the cause", new long[] {30}, 10, null));
    }

    /** Guards against a gap that is too short, or that stems from before the cause. */
    @ParameterizedTest(name = "{0}")
    @MethodSource("intervals")
    void findsLongestIntervalAfterFault(String name, long[] times, long fault, Long longest) {
        OptionalLong expected = longest == null ? OptionalLong.empty() : OptionalLong.of(longest);
        assertEquals(expected, Intervals.longest(times, fault, Long.MAX_VALUE));
    }
}
