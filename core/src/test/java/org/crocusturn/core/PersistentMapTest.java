package org.crocusturn.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.stream.Collectors;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against entries that are lost, not removed, or modified in an earlier copy, including
 * entries of keys with equal hashes.
 */
class PersistentMapTest {
    /** A key whose hash is chosen by the test. */
    private record Key(int number, int hash) {
        @Override
        public boolean equals(Object other) {
            return other instanceof Key key && key.number == number;
        }

        @Override
        public int hashCode() {
            return hash;
        }
    }

    @ParameterizedTest
    @CsvSource({"1, 1", "2, 3", "3, 40", "4, 2000", "5, 2147483647"})
    void behavesLikeHashMap(long seed, int hashes) {
        Random random = new Random(seed);
        Map<Key, Integer> expected = new HashMap<>();
        PersistentMap<Key, Integer> map = PersistentMap.empty();
        for (int i = 0; i < 4_000; i++) {
            int number = random.nextInt(300);
            Key key = new Key(number, new Random(number).nextInt(hashes) * 0x9E3779B1);
            PersistentMap<Key, Integer> before = map;
            Map<Key, Integer> contentBefore = Map.copyOf(expected);
            if (random.nextInt(5) < 2) {
                expected.remove(key);
                map = map.without(key);
            } else {
                expected.put(key, i);
                map = map.with(key, i);
            }
            assertEquals(expected.get(key), map.get(key), "seed " + seed);
            if (i % 50 == 0) {
                assertEquals(expected, toMap(map), "seed " + seed);
                assertEquals(contentBefore, toMap(before), "seed " + seed);
                assertEquals(expected.size(), map.size(), "seed " + seed);
            }
        }
    }

    private static Map<Key, Integer> toMap(PersistentMap<Key, Integer> map) {
        return map.entries()
                .collect(Collectors.toMap(PersistentMap.Entry::key, PersistentMap.Entry::value));
    }
}
