package org.crocusturn.daemon.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a leader that encodes the same configuration for each of a hundred hosts. */
class EncodingCacheTest {
    private static final int SIZE = 2;

    @ParameterizedTest
    @CsvSource({"a a a a, a", "a b a b, a b", "a b c c b, a b c", "a b c a, a b c a"})
    void encodesLatestValuesOnce(String values, String encoded) {
        List<String> calls = new ArrayList<>();
        EncodingCache<String, String> cache =
                EncodingCache.ofSize(
                        SIZE,
                        value -> {
                            calls.add(value);
                            return value.toUpperCase(java.util.Locale.ROOT);
                        });
        Stream.of(values.split(" "))
                .map(String::intern)
                .forEach(
                        value ->
                                assertEquals(
                                        value.toUpperCase(java.util.Locale.ROOT),
                                        cache.encode(value)));
        assertEquals(encoded, String.join(" ", calls));
    }

    /** Equal values may be large; comparing them costs as much as encoding. */
    @ParameterizedTest
    @CsvSource({"true, 1", "false, 2"})
    void comparesByIdentity(boolean same, int expected) {
        List<Object> calls = new ArrayList<>();
        EncodingCache<List<Integer>, Integer> cache =
                EncodingCache.ofSize(
                        SIZE,
                        value -> {
                            calls.add(value);
                            return value.size();
                        });
        List<Integer> first = new ArrayList<>(List.of(1));
        cache.encode(first);
        cache.encode(same ? first : new ArrayList<>(first));
        assertEquals(expected, calls.size());
    }
}
